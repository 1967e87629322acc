#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/store/workertypes.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** The settings of a WorkerClient. */
struct WorkerClientSettings
{
    std::string address; ///< "IP:PORT" of the platform.
    std::string clientName; ///< Sent with every call in the header Dragonflysill-Client.
    std::chrono::milliseconds callTimeout{2000};
};

/**
 * The platform's interface for workers and tasks. Thread-safe; every call blocks.
 *
 * Errors: Unreachable if the request was certainly not executed, OutcomeUnknown if it may have been
 * (all requests may be repeated), NotFound for an unknown worker or task, Conflict if the task's
 * state does not allow the request or the worker has no room, Corrupt for a malformed answer.
 */
class WorkerClient
{
public:
    explicit WorkerClient(WorkerClientSettings settings);
    ~WorkerClient();

    /** Returns all workers. */
    Result<std::vector<PlatformWorker>> workers();

    /** Returns all tasks that run or ended a short time ago. */
    Result<std::vector<PlatformTask>> tasks();

    /** Starts a task on a worker. */
    Result<PlatformTask> start(std::string_view worker, const TaskStartRequest &task);

    /** Extends the task's lease by its full time. */
    Result<PlatformTask> renew(std::string_view id);

    /** Saves the task's progress and ends it; the next start of the same job and index resumes. */
    Result<PlatformTask> checkpoint(std::string_view id);

    /** Lets the task run on with a quarter of its cores. */
    Result<PlatformTask> throttle(std::string_view id);

    /** Ends the task. */
    Result<PlatformTask> stop(std::string_view id);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace dragonflysill
