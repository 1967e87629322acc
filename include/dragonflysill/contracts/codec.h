#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/contracts/configuration.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace dragonflysill {

void to_json(nlohmann::json &json, const InstanceDeclaration &value);
void to_json(nlohmann::json &json, const Pool &value);
void to_json(nlohmann::json &json, const Route &value);
void to_json(nlohmann::json &json, const Service &value);
void to_json(nlohmann::json &json, const Job &value);
void to_json(nlohmann::json &json, const Quota &value);
void to_json(nlohmann::json &json, const Maintenance &value);

void from_json(const nlohmann::json &json, InstanceDeclaration &value);
void from_json(const nlohmann::json &json, Pool &value);
void from_json(const nlohmann::json &json, Route &value);
void from_json(const nlohmann::json &json, Service &value);
void from_json(const nlohmann::json &json, Job &value);
void from_json(const nlohmann::json &json, Quota &value);
void from_json(const nlohmann::json &json, Maintenance &value);

/** Returns the text of an enumerator in the store and in tickets, for example "urgent". */
std::string_view toText(Priority value);
std::string_view toText(MaintenanceAction value);
std::string_view toText(MaintenanceState value);

/**
 * Decodes a stored object. Unknown fields are ignored, so that objects of a newer version can be
 * read; the strict checks are part of ticket validation.
 * @param text the JSON text of the stored value
 * @return the object, or Corrupt if the text is not the JSON of a T
 */
template <typename T>
Result<T> decodeStored(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded())
        return Error(ErrorKind::Corrupt, "stored value is not JSON");
    try {
        return json.get<T>();
    } catch (const nlohmann::json::exception &e) {
        return Error(ErrorKind::Corrupt, e.what());
    }
}

} // namespace dragonflysill
