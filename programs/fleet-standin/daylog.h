#pragma once

#include "dragonflysill/base/time.h"
#include "dragonflysill/net/eventloop.h"

#include <chrono>
#include <iostream>
#include <string_view>

namespace dragonflysill {

/** Prints what happens in a simulated day, with the milliseconds since its start. */
class DayLog
{
public:
    /** @param kind one word for the kind of the event, such as "fault" */
    void note(std::string_view kind, std::string_view text) const
    {
        std::cout << kind << ' ' << (EventLoop::now() - m_startedAt) / std::chrono::milliseconds(1)
                  << " ms: " << text << std::endl;
    }

private:
    TimePoint m_startedAt = EventLoop::now();
};

} // namespace dragonflysill
