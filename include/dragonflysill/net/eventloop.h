#pragma once

#include "dragonflysill/base/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace dragonflysill {

/** The event loop of a process with one thread. */
class EventLoop
{
public:
    /** Returns the time of a clock that also counts while the machine is suspended. */
    static TimePoint now();

    /** Runs @p action once after @p delay; the loop outlives the action. */
    void after(Duration delay, std::function<void()> action);

    /** Runs @p action as soon as the current handler has returned. */
    void post(std::function<void()> action);

    /** Handles events until stop() is called. */
    void run() { m_context.run(); }

    /** Makes run() return. */
    void stop() { m_context.stop(); }

    /** Gives the network classes access to the library's loop. */
    boost::asio::io_context &context() { return m_context; }

private:
    boost::asio::io_context m_context{1};
};

} // namespace dragonflysill
