#include "runcounts.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace dragonflysill {

namespace internal {

bool addCounts(const nlohmann::json &json, const char *field,
               std::map<std::string, int, std::less<>> &counts)
{
    if (!json.contains(field) || !json[field].is_object())
        return false;
    for (const auto &it : json[field].items()) {
        if (!it.value().is_number_integer())
            return false;
        counts[it.key()] += it.value().get<int>();
    }
    return true;
}

} // namespace internal

Result<RunCounts> readRunCounts(std::span<const std::string> backends)
{
    RunCounts counts;
    for (const auto &address : backends) {
        httplib::Client client("http://" + address);
        const auto result = client.Get("/standin/runs");
        if (!result)
            return Error(ErrorKind::Unreachable, "no run counts from " + address);
        const auto json = nlohmann::json::parse(result->body, nullptr, false);
        if (!json.is_object() || !internal::addCounts(json, "by_request_id", counts.byRequestId)
            || !internal::addCounts(json, "by_idempotency_key", counts.byKey))
            return Error(ErrorKind::Corrupt, "invalid run counts from " + address);
        counts.mixedPoolStarts += json.value("started_with_mixed_pools", 0)
                                  + json.value("started_with_lower_epoch", 0);
    }
    return counts;
}

} // namespace dragonflysill
