#pragma once

#include "dragonflysill/machines/taskplatform.h"
#include "dragonflysill/store/workerclient.h"

#include <string>
#include <vector>

namespace dragonflysill {

/** The platform's worker and task interface over HTTP. Every call blocks. */
class WorkerRequests final : public TaskPlatform
{
public:
    explicit WorkerRequests(WorkerClientSettings settings)
        : m_client(std::move(settings))
    {
    }

    Result<std::vector<PlatformWorker>> workers() override { return m_client.workers(); }
    Result<std::vector<PlatformTask>> tasks() override { return m_client.tasks(); }
    Result<PlatformTask> start(const std::string &worker, const TaskStartRequest &task) override
    {
        return m_client.start(worker, task);
    }
    Result<PlatformTask> renew(const std::string &id) override { return m_client.renew(id); }
    Result<PlatformTask> checkpoint(const std::string &id) override
    {
        return m_client.checkpoint(id);
    }
    Result<PlatformTask> throttle(const std::string &id) override { return m_client.throttle(id); }
    Result<PlatformTask> stop(const std::string &id) override { return m_client.stop(id); }

private:
    WorkerClient m_client;
};

} // namespace dragonflysill
