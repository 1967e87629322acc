#pragma once

#include "dragonflysill/base/stringhash.h"
#include "dragonflysill/jobs/job.h"
#include "dragonflysill/net/eventloop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflysill {

/**
 * Requests for the status of a job that wait for its end. A caller that asks shortly before the end
 * then learns of it at once instead of with its next request.
 */
class StatusWaiters
{
public:
    using Callback = std::function<void(std::optional<JobStatus>)>;
    /** Returns the status of a job; no value if it is unknown. */
    using Source = std::function<std::optional<JobStatus>(const std::string &job)>;

    StatusWaiters(EventLoop &loop, Source source);
    ~StatusWaiters() { *m_alive = false; }
    StatusWaiters(const StatusWaiters &) = delete;
    StatusWaiters &operator=(const StatusWaiters &) = delete;

    /** Calls @p callback with the job's status when it has ended, or after @p time at the latest.
     */
    void wait(const std::string &job, Duration time, Callback callback);

    /** Answers the requests for a job if it has ended. */
    void jobChanged(const std::string &job);

    /** Returns the number of jobs whose end is waited for. */
    [[nodiscard]] std::size_t jobs() const { return m_waiting.size(); }

private:
    struct Waiter
    {
        TimePoint until{};
        Callback callback;
    };

    void answerExpired();
    void checkLater();

    EventLoop &m_loop;
    Source m_source;
    StringMap<std::vector<Waiter>> m_waiting;
    bool m_checking = false; ///< answerExpired() will run.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dragonflysill
