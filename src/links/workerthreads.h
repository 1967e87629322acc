#pragma once

#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace dragonflysill {

/**
 * The server's task queue. The HTTP library occupies one thread for each open connection, so a
 * small fixed pool lets idle keep-alive connections block new ones. This queue starts a thread
 * whenever a connection would have to wait, up to a limit.
 */
class WorkerThreads : public httplib::TaskQueue
{
public:
    /**
     * @param limit the largest number of threads, and so of connections that are served at once
     * @param waiting receives the number of connections that wait for a thread; belongs to the
     * caller
     */
    WorkerThreads(std::size_t limit, std::atomic<std::size_t> &waiting);

    void enqueue(std::function<void()> task) override;

    /** Finishes all queued tasks and joins the threads. */
    void shutdown() override;

private:
    void work();

    const std::size_t m_limit;
    std::atomic<std::size_t> &m_waiting;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_stopping = false;
};

} // namespace dragonflysill
