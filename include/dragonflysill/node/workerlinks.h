#pragma once

#include "dragonflysill/jobs/scheduler.h"
#include "dragonflysill/net/httpclient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace dragonflysill {

namespace platform {
class WorkerCalls;
}

/** Counters of the calls to workers. */
struct WorkerLinkCounts
{
    std::uint64_t holds = 0;
    std::uint64_t holdsUnanswered = 0;
    std::uint64_t starts = 0;
    std::uint64_t startsRefused = 0;
    std::uint64_t startsUnanswered = 0;
    std::uint64_t stops = 0;
    std::uint64_t paces = 0;
    std::uint64_t questions = 0; ///< About the workers that a policy admits.
};

/**
 * Carries the scheduler's orders to the workers and their answers back. While a worker has runs, a
 * hold is always on its way to it: it extends the runs and returns as soon as one ends.
 */
class WorkerLinks
{
public:
    /**
     * @param adviceAddress of the service that knows which workers a policy admits; may be empty
     * @param mayOrder tells whether this node still owns the schedule
     * @param changed called when an answer may have opened something to decide
     */
    WorkerLinks(HttpClient &client, Scheduler &scheduler, std::int64_t fence,
                std::string adviceAddress, std::function<bool()> mayOrder,
                std::function<void()> changed);
    ~WorkerLinks();
    WorkerLinks(const WorkerLinks &) = delete;
    WorkerLinks &operator=(const WorkerLinks &) = delete;

    /** Carries out one decision. */
    void execute(const SchedulerAction &action);

    /** Sends the holds that are due. */
    void pump(TimePoint now);

    [[nodiscard]] const WorkerLinkCounts &counts() const { return m_counts; }

private:
    struct Link
    {
        bool holding = false; ///< A hold is on its way.
        TimePoint nextHold{};
    };

    template <typename Order>
    void send(const Order &order);
    void send(const RequestAdmission &question);
    void carry(const StartTask &start, const std::string &address);
    void carry(const StopTask &stop, const std::string &address);
    void carry(const PaceTask &pace, const std::string &address);
    void hold(const std::string &id, const WorkerState &worker, Link &link, TimePoint now);
    void noteUnanswered(const std::string &id, const Error &error);
    void held(const std::string &id, const Result<WorkerReport> &report, TimePoint sentAt);

    HttpClient &m_client;
    std::string m_adviceAddress;
    Scheduler &m_scheduler;
    std::unique_ptr<platform::WorkerCalls> m_calls;
    std::function<bool()> m_mayOrder;
    std::function<void()> m_changed;
    std::map<std::string, Link> m_links;
    WorkerLinkCounts m_counts;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dragonflysill
