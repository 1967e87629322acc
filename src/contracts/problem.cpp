#include "dragonflysill/contracts/problem.h"

namespace dragonflysill {

void to_json(nlohmann::json &json, const Problem &value)
{
    json = {{"pointer", value.pointer}, {"message", value.message}, {"remedy", value.remedy}};
}

void from_json(const nlohmann::json &json, Problem &value)
{
    json.at("pointer").get_to(value.pointer);
    json.at("message").get_to(value.message);
    json.at("remedy").get_to(value.remedy);
}

} // namespace dragonflysill
