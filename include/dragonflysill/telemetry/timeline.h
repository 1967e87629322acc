#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/telemetry/event.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/**
 * Bounded buffer of the newest events of one process; holds the process's hybrid logical clock.
 * Thread-safe. Its lock is last in the lock order: no other lock is acquired while it is held.
 */
class Timeline
{
public:
    /** Number of kept events; at about 200 bytes each they take less than 1 MB. */
    static constexpr std::size_t defaultCapacity = 4096;

    explicit Timeline(std::string process, std::size_t capacity = defaultCapacity);

    /** Records an event with the current time. */
    void record(EventKind kind, std::string_view subject, std::string_view detail = {});

    /** Advances the clock and returns the time stamp for a message that is sent now. */
    HybridTime stamp();

    /** Advances the clock to be later than the time stamp of a received message. */
    void observe(const HybridTime &remote);

    /** Returns the kept events, oldest first. */
    [[nodiscard]] std::vector<Event> events() const;

    /** Returns the number of events that were dropped because the buffer was full. */
    [[nodiscard]] std::size_t dropped() const;

    [[nodiscard]] const std::string &process() const { return m_process; }

private:
    const std::string m_process;
    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    HybridClock m_clock;
    std::deque<Event> m_events;
    std::size_t m_dropped = 0;
};

/** Sorts the events of several processes by hybrid time, then by process. */
std::vector<Event> mergeEvents(std::vector<Event> events);

/** Returns events as a JSON array, the format of the /timeline endpoint. */
std::string eventsToJson(std::span<const Event> events);

/** Decodes the format of the /timeline endpoint; Corrupt if the text is malformed. */
Result<std::vector<Event>> eventsFromJson(std::string_view text);

/** Returns one line of text for each event. */
std::string eventsToText(std::span<const Event> events);

/** Returns the events in the Chrome trace event format, one row per process. */
std::string eventsToChromeTrace(std::span<const Event> events);

} // namespace dragonflysill
