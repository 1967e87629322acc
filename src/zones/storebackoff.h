#pragma once

#include "dragonflysill/base/random.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>

namespace dragonflysill::internal {

/** Exponential backoff with jitter for calls to the store. Not thread-safe. */
class StoreBackoff
{
public:
    explicit StoreBackoff(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /** Returns the next delay, which doubles up to the limit; half of it is random. */
    std::chrono::milliseconds next()
    {
        const auto base = static_cast<double>(m_delay.count());
        m_delay = std::min(m_delay * 2, maxDelay);
        return std::chrono::milliseconds(static_cast<int>(base * (0.5 + m_random.unit() / 2)));
    }

    /** Resets the delay after a successful call. */
    void reset() { m_delay = initialDelay; }

private:
    static constexpr std::chrono::milliseconds initialDelay{100};
    /** Changes must be in effect within 2 s after the store answers again, so the limit is 1 s. */
    static constexpr std::chrono::milliseconds maxDelay{1000};

    Random m_random;
    std::chrono::milliseconds m_delay = initialDelay;
};

/** A timed wait that another thread can end early, for example to stop. Thread-safe. */
class Wakeup
{
public:
    /** Ends the current wait, or the next one if no thread is waiting. */
    void notify()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_notified = true;
        }
        m_condition.notify_all();
    }

    void waitFor(std::chrono::milliseconds time)
    {
        std::unique_lock lock(m_mutex);
        m_condition.wait_for(lock, time, [this] { return m_notified; });
        m_notified = false;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_notified = false;
};

} // namespace dragonflysill::internal
