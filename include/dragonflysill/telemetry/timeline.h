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
 * A bounded ring of the newest events of one process, with the process's hybrid logical clock.
 * Thread-safe; its lock is the last in the lock order.
 */
class Timeline
{
public:
    /** Events kept; 4096 events of about 200 bytes stay below 1 MB. */
    static constexpr std::size_t defaultCapacity = 4096;

    explicit Timeline(std::string process, std::size_t capacity = defaultCapacity);

    /** Records an event now. */
    void record(EventKind kind, std::string_view subject, std::string_view detail = {});

    /** Returns the stamp to put on a message that is sent now. */
    HybridTime stamp();

    /** Merges the stamp of a received message. */
    void observe(const HybridTime &remote);

    /** Returns the kept events, oldest first. */
    [[nodiscard]] std::vector<Event> events() const;

    /** Returns how many events were dropped because the ring was full. */
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

/** Returns the events of several processes in one order: by hybrid time, then by process. */
std::vector<Event> mergeEvents(std::vector<Event> events);

/** Returns events as a JSON array, the format of the /timeline endpoint. */
std::string eventsToJson(std::span<const Event> events);

/** Decodes the /timeline format; Corrupt if the text is not in it. */
Result<std::vector<Event>> eventsFromJson(std::string_view text);

/** Returns one line of text for each event. */
std::string eventsToText(std::span<const Event> events);

/** Returns the events in the Chrome trace-event format, one row for each process. */
std::string eventsToChromeTrace(std::span<const Event> events);

} // namespace dragonflysill
