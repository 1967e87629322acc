#include "callers.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

constexpr const char *jobBody
        = R"({"spec":"demo","steps":[{"count":2,"cpu":1000,"memMb":64,"estimateMs":100},)"
          R"({"count":1,"cpu":1000,"memMb":64,"estimateMs":100,"after":[0]}]})";
/** Time for which one queue receives most of the jobs, before the next queue does. */
constexpr Duration busyQueuePeriod = 1500ms;
/** One job in this many may go to a queue other than the busy one. */
constexpr int otherQueueInterval = 5;
/** Time between two requests for the state of a job. */
constexpr Duration pollInterval = 100ms;
/** Time before a submission is repeated. */
constexpr Duration resubmitDelay = 200ms;
/** Time that callers wait for an answer. */
constexpr Duration callTimeout = 3s;

std::string jobId(int n)
{
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%016x", static_cast<unsigned>(n));
    return id.data();
}

/** Returns whether a node says that a job is in a state. */
bool reports(const Result<HttpResponse> &response, std::string_view state)
{
    return response && response->status == 200 && response->body.find(state) != std::string::npos;
}

} // namespace internal

Callers::Callers(EventLoop &loop, platform::FleetStandin &fleet, CallerSettings settings)
    : m_loop(loop)
    , m_fleet(fleet)
    , m_client(loop)
    , m_settings(std::move(settings))
    , m_submittedAt(static_cast<std::size_t>(m_settings.jobs))
{
}

void Callers::start()
{
    m_startedAt = EventLoop::now();
    submitNext(0);
}

void Callers::submitNext(int n)
{
    if (n == m_settings.jobs)
        return;
    const auto now = EventLoop::now();
    m_submittedAt[static_cast<std::size_t>(n)] = now;
    const auto busyQueue
            = static_cast<std::size_t>((now - m_startedAt) / internal::busyQueuePeriod);
    const auto offset = n % internal::otherQueueInterval == 0 ? static_cast<std::size_t>(n) : 0;
    m_queue.push_back(m_settings.pools[(busyQueue + offset) % m_settings.pools.size()]);
    m_fleet.jobSubmitted(internal::jobId(n));
    submit(n, n, true);
    m_loop.after(m_settings.spacing, [this, n] { submitNext(n + 1); });
}

std::string Callers::target(int n) const
{
    return platform::FleetStandin::queuePrefix(m_queue[static_cast<std::size_t>(n)])
           + internal::jobId(n);
}

void Callers::call(const char *method, int n, int node, const std::string &body,
                   HttpClient::Callback callback)
{
    m_client.call(m_settings.nodes[static_cast<std::size_t>(node) % m_settings.nodes.size()],
                  {method, target(n), body, {{"Host", platform::FleetStandin::callerHost}}},
                  internal::callTimeout, std::move(callback));
}

void Callers::submit(int n, int node, bool onlyRejected)
{
    call("POST", n, node, internal::jobBody,
         [this, n, node, onlyRejected](const Result<HttpResponse> &response) {
             if (response && response->status == 200) {
                 ++m_tally.accepted;
                 if (m_settings.cancelEvery != 0 && n % m_settings.cancelEvery == 0)
                     cancel(n, node + 1);
                 else
                     m_fleet.jobAccepted(internal::jobId(n), m_queue[static_cast<std::size_t>(n)]);
                 poll(n, node + 1);
                 return;
             }
             const bool rejected = response && (response->status == 503 || response->status == 429);
             m_tally.notAccepted += static_cast<int>(rejected);
             if (rejected && onlyRejected && n % 2 == 0) {
                 m_fleet.jobRejected(internal::jobId(n));
                 ++m_tally.abandoned;
                 ++m_ended;
                 return;
             }
             m_loop.after(internal::resubmitDelay, [this, n, node, all = rejected && onlyRejected] {
                 submit(n, node + 1, all);
             });
         });
}

void Callers::cancel(int n, int node)
{
    call("DELETE", n, node, {}, [this, n, node](const Result<HttpResponse> &response) {
        if (response && response->status / 100 == 2) {
            m_fleet.jobCancelled(internal::jobId(n));
            return;
        }
        m_loop.after(internal::resubmitDelay, [this, n, node] { cancel(n, node + 1); });
    });
}

void Callers::poll(int n, int node)
{
    call("GET", n, node, {}, [this, n, node](const Result<HttpResponse> &response) {
        if (internal::reports(response, "completed")) {
            completed(n);
            return;
        }
        const bool cancelled = internal::reports(response, "cancelled");
        if (cancelled && m_settings.cancelEvery != 0 && n % m_settings.cancelEvery == 0) {
            ++m_tally.cancelled;
            ++m_ended;
            return;
        }
        if (internal::reports(response, "failed")) {
            m_fleet.jobReportedFailed(internal::jobId(n));
            ++m_ended;
            return;
        }
        const bool unknown = response && response->status == 410;
        if (cancelled || unknown) {
            m_fleet.jobReportedLost(internal::jobId(n), unknown ? "unknown" : "cancelled");
            ++m_ended;
            return;
        }
        if (response && response->status == 200)
            m_fleet.jobReportedOpen(internal::jobId(n));
        m_loop.after(internal::pollInterval, [this, n, node] { poll(n, node + 1); });
    });
}

void Callers::completed(int n)
{
    const auto took = EventLoop::now() - m_submittedAt[static_cast<std::size_t>(n)];
    m_fleet.jobReportedCompleted(internal::jobId(n));
    m_tally.late += static_cast<int>(took > platform::FleetStandin::objective);
    ++m_tally.completed;
    ++m_ended;
}

} // namespace dragonflysill
