#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflysill {

/** An amount of resources in the platform's units. */
struct PlatformResources
{
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const PlatformResources &) const = default;
};

/** A worker in the platform's list. */
struct PlatformWorker
{
    std::string name;
    std::string pool;
    std::string zone; ///< Availability zone.
    std::string rack;
    PlatformResources capacity;

    bool operator==(const PlatformWorker &) const = default;
};

/** A request to start a task. */
struct TaskStartRequest
{
    std::string id; ///< Chosen by the client; a repeated start with the same id changes nothing.
    std::string job;
    int index = 0;
    PlatformResources declared;
    bool checkpointable = false;
    std::chrono::milliseconds lease{30000}; ///< The task ends if it is not renewed for this long.

    bool operator==(const TaskStartRequest &) const = default;
};

/** The life of a task on a worker. */
enum class PlatformTaskState {
    Running,
    Throttled, ///< Runs with a quarter of its cores.
    Checkpointed, ///< Ended with its progress saved.
    Stopped, ///< Ended on request.
    Succeeded,
    Failed,
    LeaseExpired, ///< Ended because its lease was not renewed.
};

/** Returns the fixed text of a state, for example "lease-expired". */
std::string_view toText(PlatformTaskState state);

/** Returns true if a task in this state uses its worker. */
bool isActive(PlatformTaskState state);

/** A task as the platform reports it. Ended tasks are reported for some time. */
struct PlatformTask
{
    std::string id;
    std::string worker;
    std::string job;
    int index = 0;
    PlatformTaskState state = PlatformTaskState::Running;
    /** What the task used some time ago; the platform reports it late and nothing at first. */
    std::optional<PlatformResources> usage;
    std::string reason; ///< Why the task failed.

    bool operator==(const PlatformTask &) const = default;
};

void to_json(nlohmann::json &json, const PlatformResources &value);
void to_json(nlohmann::json &json, const PlatformWorker &value);
void to_json(nlohmann::json &json, const TaskStartRequest &value);
void to_json(nlohmann::json &json, const PlatformTask &value);

/** The decoders throw nlohmann::json::exception for a message in another form. */
void from_json(const nlohmann::json &json, PlatformResources &value);
void from_json(const nlohmann::json &json, PlatformWorker &value);
void from_json(const nlohmann::json &json, TaskStartRequest &value);
void from_json(const nlohmann::json &json, PlatformTask &value);

} // namespace dragonflysill
