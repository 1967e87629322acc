#pragma once

#include "dragonflysill/base/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace dragonflysill {

/** Event loop of a single-threaded process. */
class EventLoop
{
public:
    /** Returns the time of a monotonic clock that also advances while the machine is suspended. */
    static TimePoint now();

    /** Returns the processor time that the process has used since its start. */
    static Duration processorTime();

    /** Runs @p action once after @p delay. The loop must outlive the action. */
    void after(Duration delay, std::function<void()> action);

    /** Runs @p action after the current handler has returned. */
    void post(std::function<void()> action);

    /**
     * Handles events until stop() is called. An exception of an action is passed to the error
     * handler, and the loop goes on; without an error handler it leaves run().
     */
    void run();

    /** Sets a function that receives the text of exceptions that no action handles. */
    void setErrorHandler(std::function<void(const std::string &error)> handler)
    {
        m_errorHandler = std::move(handler);
    }

    /** Makes run() return. */
    void stop() { m_context.stop(); }

    /** Returns the Asio context of the loop, for the network classes. */
    boost::asio::io_context &context() { return m_context; }

private:
    boost::asio::io_context m_context{1};
    std::function<void(const std::string &error)> m_errorHandler;
};

} // namespace dragonflysill
