#pragma once

#include "dragonflysill/base/time.h"

#include <httplib.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace dragonflysill {

/**
 * Closes connections whose attempt exceeds its time. The HTTP library's timeouts count from the
 * last received byte, so a backend server that sends a byte now and then could exceed the deadline.
 * Owns its thread. A process has one, because each thread's slot belongs to the first it used.
 */
class DeadlineGuard
{
    struct Slot
    {
        std::mutex mutex;
        httplib::Client *client = nullptr;
        TimePoint until{};
    };

public:
    /** Watches one attempt until it is destroyed. */
    class Watch
    {
    public:
        explicit Watch(std::shared_ptr<Slot> slot);
        ~Watch();
        Watch(const Watch &) = delete;
        Watch &operator=(const Watch &) = delete;

    private:
        std::shared_ptr<Slot> m_slot;
    };

    DeadlineGuard();
    ~DeadlineGuard();

    /**
     * Watches an attempt of the calling thread.
     * @param client its connection; must outlive the returned object
     * @param until when the connection is closed
     */
    Watch watch(httplib::Client &client, TimePoint until);

private:
    std::shared_ptr<Slot> slotOfThread();
    void run();
    void closeExpired();

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<std::shared_ptr<Slot>>
            m_slots; ///< One per thread, so that attempts do not contend.
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace dragonflysill
