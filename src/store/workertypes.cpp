#include "dragonflysill/store/workertypes.h"

#include <array>
#include <utility>

namespace dragonflysill {

namespace internal {

constexpr std::array taskStateNames{
        std::pair{PlatformTaskState::Running, std::string_view("running")},
        std::pair{PlatformTaskState::Throttled, std::string_view("throttled")},
        std::pair{PlatformTaskState::Checkpointed, std::string_view("checkpointed")},
        std::pair{PlatformTaskState::Stopped, std::string_view("stopped")},
        std::pair{PlatformTaskState::Succeeded, std::string_view("succeeded")},
        std::pair{PlatformTaskState::Failed, std::string_view("failed")},
        std::pair{PlatformTaskState::LeaseExpired, std::string_view("lease-expired")}};

PlatformTaskState taskStateOf(const std::string &text)
{
    for (const auto &[state, name] : taskStateNames) {
        if (name == text)
            return state;
    }
    throw nlohmann::json::other_error::create(501, "unknown task state '" + text + "'", nullptr);
}

} // namespace internal

std::string_view toText(PlatformTaskState state)
{
    for (const auto &[it, name] : internal::taskStateNames) {
        if (it == state)
            return name;
    }
    return "";
}

bool isActive(PlatformTaskState state)
{
    return state == PlatformTaskState::Running || state == PlatformTaskState::Throttled;
}

void to_json(nlohmann::json &json, const PlatformResources &value)
{
    json = {{"milli_cores", value.milliCores},
            {"memory_mb", value.memoryMb},
            {"accelerators", value.accelerators}};
}

void from_json(const nlohmann::json &json, PlatformResources &value)
{
    value.milliCores = json.at("milli_cores").get<std::int64_t>();
    value.memoryMb = json.at("memory_mb").get<std::int64_t>();
    value.accelerators = json.value("accelerators", std::int64_t{0});
}

void to_json(nlohmann::json &json, const PlatformWorker &value)
{
    json = {{"name", value.name},
            {"pool", value.pool},
            {"zone", value.zone},
            {"rack", value.rack},
            {"capacity", value.capacity}};
}

void from_json(const nlohmann::json &json, PlatformWorker &value)
{
    value.name = json.at("name").get<std::string>();
    value.pool = json.value("pool", "");
    value.zone = json.value("zone", "");
    value.rack = json.value("rack", "");
    value.capacity = json.at("capacity").get<PlatformResources>();
}

void to_json(nlohmann::json &json, const TaskStartRequest &value)
{
    json = {{"id", value.id},
            {"job", value.job},
            {"index", value.index},
            {"declared", value.declared},
            {"checkpointable", value.checkpointable},
            {"lease_ms", value.lease.count()}};
}

void from_json(const nlohmann::json &json, TaskStartRequest &value)
{
    value.id = json.at("id").get<std::string>();
    value.job = json.at("job").get<std::string>();
    value.index = json.at("index").get<int>();
    value.declared = json.at("declared").get<PlatformResources>();
    value.checkpointable = json.value("checkpointable", false);
    value.lease = std::chrono::milliseconds(json.at("lease_ms").get<std::int64_t>());
}

void to_json(nlohmann::json &json, const PlatformTask &value)
{
    json = {{"id", value.id},
            {"worker", value.worker},
            {"job", value.job},
            {"index", value.index},
            {"state", toText(value.state)}};
    if (value.usage)
        json["usage"] = *value.usage;
    if (!value.reason.empty())
        json["reason"] = value.reason;
}

void from_json(const nlohmann::json &json, PlatformTask &value)
{
    value.id = json.at("id").get<std::string>();
    value.worker = json.at("worker").get<std::string>();
    value.job = json.at("job").get<std::string>();
    value.index = json.at("index").get<int>();
    value.state = internal::taskStateOf(json.at("state").get<std::string>());
    value.usage.reset();
    if (json.contains("usage"))
        value.usage = json.at("usage").get<PlatformResources>();
    value.reason = json.value("reason", "");
}

} // namespace dragonflysill
