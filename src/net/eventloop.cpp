#include "dragonflysill/net/eventloop.h"

#include <boost/asio/post.hpp>

#include <ctime>
#include <exception>

namespace dragonflysill {

TimePoint EventLoop::now()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

Duration EventLoop::processorTime()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

void EventLoop::run()
{
    while (true) {
        try {
            m_context.run();
            return;
        } catch (const std::exception &e) {
            if (!m_errorHandler)
                throw;
            m_errorHandler(e.what());
        }
    }
}

void EventLoop::after(Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &ec) {
        if (!ec)
            action();
    });
}

void EventLoop::post(std::function<void()> action)
{
    boost::asio::post(m_context, std::move(action));
}

} // namespace dragonflysill
