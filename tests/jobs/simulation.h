#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/base/time.h"

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace dragonflysill::test {

using namespace std::chrono_literals;

/** Base of the seeded models: a virtual clock, events in time order, a trace and the violation. */
class Simulation
{
public:
    /** Returns a trace with one line per event, for the analysis of a failed seed. */
    [[nodiscard]] const std::string &trace() const { return m_trace; }

protected:
    explicit Simulation(std::uint64_t seed)
        : m_random(seed)
        , m_now(beginning)
    {
    }

    /** Time at which the simulation begins. */
    static constexpr TimePoint beginning{1000s};

    [[nodiscard]] bool chance(double probability) { return m_random.unit() < probability; }

    /** Returns an integer in [first, last]. */
    [[nodiscard]] int between(int first, int last)
    {
        const int range = last - first + 1;
        return first + static_cast<int>(m_random.below(static_cast<std::size_t>(range)));
    }

    /** Returns the delay of a message: mostly up to 20 ms, sometimes up to 400 ms. */
    [[nodiscard]] Duration delay()
    {
        return std::chrono::milliseconds(
                1 + static_cast<int>(m_random.below(chance(0.1) ? 400 : 20)));
    }

    void schedule(Duration delay, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }

    /** Advances the clock and carries out the events that are due by then. */
    void advanceClock(Duration duration)
    {
        m_now += duration;
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
    }

    [[nodiscard]] std::int64_t elapsedMs() const { return (m_now - beginning) / 1ms; }

    void recordViolation(const std::string &text)
    {
        if (m_violation.empty())
            m_violation = text + " at " + std::to_string(elapsedMs()) + " ms";
    }

    void appendTrace(const std::string &text)
    {
        m_trace += std::to_string(elapsedMs()) + " ms: " + text + "\n";
    }

    Random m_random;
    TimePoint m_now;
    std::string m_violation;

private:
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::string m_trace;
};

/** Returns a number from the environment, for manual runs of a model with other seeds. */
inline std::uint64_t readEnvironment(const char *name, std::uint64_t defaultValue)
{
    const char *text = std::getenv(name);
    return text == nullptr ? defaultValue : std::stoull(text);
}

} // namespace dragonflysill::test
