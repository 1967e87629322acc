#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/store/workertypes.h"

#include <string>
#include <vector>

namespace dragonflysill {

/** The platform's worker and task requests that placement needs; errors as in WorkerClient. */
class TaskPlatform
{
public:
    virtual ~TaskPlatform() = default;

    virtual Result<std::vector<PlatformWorker>> workers() = 0;
    virtual Result<std::vector<PlatformTask>> tasks() = 0;
    virtual Result<PlatformTask> start(const std::string &worker, const TaskStartRequest &task) = 0;
    virtual Result<PlatformTask> renew(const std::string &id) = 0;
    virtual Result<PlatformTask> checkpoint(const std::string &id) = 0;
    virtual Result<PlatformTask> throttle(const std::string &id) = 0;
    virtual Result<PlatformTask> stop(const std::string &id) = 0;
};

} // namespace dragonflysill
