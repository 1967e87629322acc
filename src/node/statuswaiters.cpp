#include "dragonflysill/node/statuswaiters.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Interval between two searches for requests that have waited long enough. */
constexpr Duration waitCheckInterval = 20ms;

} // namespace internal

StatusWaiters::StatusWaiters(EventLoop &loop, Source source)
    : m_loop(loop)
    , m_source(std::move(source))
{
}

void StatusWaiters::wait(const std::string &job, Duration time, Callback callback)
{
    m_waiting[job].push_back({EventLoop::now() + time, std::move(callback)});
    checkLater();
}

void StatusWaiters::jobChanged(const std::string &job)
{
    const auto it = m_waiting.find(job);
    if (it == m_waiting.end())
        return;
    const auto status = m_source(job);
    if (status && !isFinal(*status))
        return;
    const auto waiters = std::move(it->second);
    m_waiting.erase(it);
    for (const auto &waiter : waiters)
        waiter.callback(status);
}

void StatusWaiters::answerExpired()
{
    const auto now = EventLoop::now();
    std::vector<std::pair<Waiter, std::string>> expired;
    for (auto &[job, waiters] : m_waiting) {
        const auto first = std::partition(waiters.begin(), waiters.end(),
                                          [now](const Waiter &it) { return now < it.until; });
        std::for_each(first, waiters.end(), [&expired, &job = job](Waiter &it) {
            expired.emplace_back(std::move(it), job);
        });
        waiters.erase(first, waiters.end());
    }
    std::erase_if(m_waiting, [](const auto &it) { return it.second.empty(); });
    for (const auto &[waiter, job] : expired)
        waiter.callback(m_source(job));
    if (!m_waiting.empty())
        checkLater();
}

void StatusWaiters::checkLater()
{
    if (std::exchange(m_checking, true))
        return;
    m_loop.after(internal::waitCheckInterval, [this, alive = m_alive] {
        if (!*alive)
            return;
        m_checking = false;
        answerExpired();
    });
}

} // namespace dragonflysill
