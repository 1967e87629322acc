#include "dragonflysill/machines/instancerecord.h"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace dragonflysill {

namespace internal {

constexpr std::array<std::pair<InstancePhase, std::string_view>, 5> phaseNames{
        {{InstancePhase::Serving, "serving"},
         {InstancePhase::Leaving, "leaving"},
         {InstancePhase::Warming, "warming"},
         {InstancePhase::Maintenance, "maintenance"},
         {InstancePhase::Failed, "failed"}}};

bool parsePhase(std::string_view text, InstancePhase &phase)
{
    for (const auto &it : phaseNames) {
        if (it.second == text) {
            phase = it.first;
            return true;
        }
    }
    return false;
}

} // namespace internal

std::string_view toText(InstancePhase phase)
{
    for (const auto &it : internal::phaseNames) {
        if (it.first == phase)
            return it.second;
    }
    return "unknown";
}

std::string encodeRecord(const InstanceRecord &record)
{
    return nlohmann::json{{"name", record.name},           {"address", record.address},
                          {"zone", record.zone},           {"rack", record.rack},
                          {"pool", record.pool},           {"epoch", record.epoch},
                          {"phase", toText(record.phase)}, {"target_pool", record.targetPool},
                          {"since_ms", record.sinceMs}}
            .dump();
}

Result<InstanceRecord> decodeRecord(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded())
        return Error(ErrorKind::Corrupt, "instance record is not JSON");
    try {
        InstanceRecord record;
        json.at("name").get_to(record.name);
        json.at("address").get_to(record.address);
        json.at("zone").get_to(record.zone);
        record.rack = json.value("rack", std::string());
        json.at("pool").get_to(record.pool);
        json.at("epoch").get_to(record.epoch);
        if (!internal::parsePhase(json.at("phase").get<std::string>(), record.phase))
            return Error(ErrorKind::Corrupt, "instance record has an unknown phase");
        record.targetPool = json.value("target_pool", std::string());
        record.sinceMs = json.value("since_ms", std::int64_t{0});
        return record;
    } catch (const nlohmann::json::exception &e) {
        return Error(ErrorKind::Corrupt, e.what());
    }
}

} // namespace dragonflysill
