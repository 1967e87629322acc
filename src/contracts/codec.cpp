#include "dragonflysill/contracts/codec.h"

#include <array>
#include <stdexcept>
#include <utility>

namespace dragonflysill {

namespace internal {

template <typename Enum, std::size_t N>
using Names = std::array<std::pair<Enum, std::string_view>, N>;

constexpr Names<Priority, 3> priorityNames{
        {{Priority::Batch, "batch"}, {Priority::Normal, "normal"}, {Priority::Urgent, "urgent"}}};
constexpr Names<MaintenanceAction, 1> actionNames{{{MaintenanceAction::Reboot, "reboot"}}};
constexpr Names<MaintenanceState, 3> stateNames{{{MaintenanceState::Running, "running"},
                                                 {MaintenanceState::Paused, "paused"},
                                                 {MaintenanceState::Cancelled, "cancelled"}}};

template <typename Enum, std::size_t N>
std::string_view nameOf(const Names<Enum, N> &names, Enum value)
{
    for (const auto &it : names) {
        if (it.first == value)
            return it.second;
    }
    return "unknown";
}

template <typename Enum, std::size_t N>
Enum valueOf(const Names<Enum, N> &names, const nlohmann::json &json, const char *field,
             Enum fallback)
{
    if (!json.contains(field))
        return fallback;
    const auto text = json.at(field).get<std::string>();
    for (const auto &it : names) {
        if (it.second == text)
            return it.first;
    }
    throw nlohmann::json::other_error::create(
            501, std::string(field) + " has unknown value " + text, &json);
}

} // namespace internal

std::string_view toText(Priority value)
{
    return internal::nameOf(internal::priorityNames, value);
}

std::string_view toText(MaintenanceAction value)
{
    return internal::nameOf(internal::actionNames, value);
}

std::string_view toText(MaintenanceState value)
{
    return internal::nameOf(internal::stateNames, value);
}

void to_json(nlohmann::json &json, const InstanceDeclaration &value)
{
    json = {{"name", value.name},
            {"address", value.address},
            {"zone", value.zone},
            {"rack", value.rack}};
}

void from_json(const nlohmann::json &json, InstanceDeclaration &value)
{
    json.at("name").get_to(value.name);
    json.at("address").get_to(value.address);
    json.at("zone").get_to(value.zone);
    value.rack = json.value("rack", std::string());
}

void to_json(nlohmann::json &json, const Pool &value)
{
    json = {{"name", value.name},
            {"ticket", value.ticket},
            {"spare", value.spare},
            {"max_unavailable", value.maxUnavailable},
            {"instances", value.instances}};
}

void from_json(const nlohmann::json &json, Pool &value)
{
    json.at("name").get_to(value.name);
    value.ticket = json.value("ticket", std::int64_t{0});
    value.spare = json.value("spare", false);
    value.maxUnavailable = json.value("max_unavailable", 0);
    value.instances = json.value("instances", std::vector<InstanceDeclaration>());
}

void to_json(nlohmann::json &json, const Route &value)
{
    json = {{"path_prefix", value.pathPrefix},
            {"deadline_ms", value.deadline.count()},
            {"repeatable", value.repeatable}};
}

void from_json(const nlohmann::json &json, Route &value)
{
    json.at("path_prefix").get_to(value.pathPrefix);
    value.deadline = std::chrono::milliseconds(json.at("deadline_ms").get<std::int64_t>());
    value.repeatable = json.value("repeatable", true);
}

void to_json(nlohmann::json &json, const Service &value)
{
    json = {{"name", value.name},
            {"ticket", value.ticket},
            {"pool", value.pool},
            {"slots_per_instance", value.slotsPerInstance},
            {"connections_per_instance", value.connectionsPerInstance},
            {"mean_rate_per_s", value.meanRatePerSecond},
            {"burst_factor", value.burstFactor},
            {"routes", value.routes}};
}

void from_json(const nlohmann::json &json, Service &value)
{
    json.at("name").get_to(value.name);
    json.at("pool").get_to(value.pool);
    value.ticket = json.value("ticket", std::int64_t{0});
    value.slotsPerInstance = json.value("slots_per_instance", value.slotsPerInstance);
    value.connectionsPerInstance
            = json.value("connections_per_instance", value.connectionsPerInstance);
    value.meanRatePerSecond = json.value("mean_rate_per_s", value.meanRatePerSecond);
    value.burstFactor = json.value("burst_factor", value.burstFactor);
    value.routes = json.value("routes", std::vector<Route>());
}

void to_json(nlohmann::json &json, const Job &value)
{
    json = {{"name", value.name},
            {"ticket", value.ticket},
            {"team", value.team},
            {"pool", value.pool},
            {"tasks", value.tasks},
            {"cores", value.cores},
            {"memory_mb", value.memoryMb},
            {"accelerators", value.accelerators},
            {"priority", toText(value.priority)},
            {"gang", value.gang},
            {"checkpointable", value.checkpointable},
            {"expected_run_s", value.expectedRun.count()},
            {"cancelled", value.cancelled}};
}

void from_json(const nlohmann::json &json, Job &value)
{
    json.at("name").get_to(value.name);
    json.at("team").get_to(value.team);
    value.ticket = json.value("ticket", std::int64_t{0});
    value.pool = json.value("pool", std::string());
    value.tasks = json.value("tasks", value.tasks);
    value.cores = json.value("cores", value.cores);
    value.memoryMb = json.value("memory_mb", value.memoryMb);
    value.accelerators = json.value("accelerators", value.accelerators);
    value.priority = internal::valueOf(internal::priorityNames, json, "priority", Priority::Normal);
    value.gang = json.value("gang", value.gang);
    value.checkpointable = json.value("checkpointable", value.checkpointable);
    value.expectedRun = std::chrono::seconds(json.value("expected_run_s", std::int64_t{0}));
    value.cancelled = json.value("cancelled", value.cancelled);
}

void to_json(nlohmann::json &json, const Quota &value)
{
    json = {{"team", value.team},
            {"ticket", value.ticket},
            {"cores", value.cores},
            {"memory_mb", value.memoryMb},
            {"accelerators", value.accelerators}};
}

void from_json(const nlohmann::json &json, Quota &value)
{
    json.at("team").get_to(value.team);
    value.ticket = json.value("ticket", std::int64_t{0});
    value.cores = json.value("cores", value.cores);
    value.memoryMb = json.value("memory_mb", value.memoryMb);
    value.accelerators = json.value("accelerators", value.accelerators);
}

void to_json(nlohmann::json &json, const Maintenance &value)
{
    json = {{"name", value.name},           {"ticket", value.ticket},
            {"pools", value.pools},         {"action", toText(value.action)},
            {"state", toText(value.state)}, {"max_parallel", value.maxParallel}};
}

void from_json(const nlohmann::json &json, Maintenance &value)
{
    json.at("name").get_to(value.name);
    json.at("pools").get_to(value.pools);
    value.ticket = json.value("ticket", std::int64_t{0});
    value.action
            = internal::valueOf(internal::actionNames, json, "action", MaintenanceAction::Reboot);
    value.state = internal::valueOf(internal::stateNames, json, "state", MaintenanceState::Running);
    value.maxParallel = json.value("max_parallel", value.maxParallel);
}

} // namespace dragonflysill
