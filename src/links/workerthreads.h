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
 * The thread pool of the server. The HTTP library uses one thread for each open connection, so in a
 * small pool of fixed size idle keep-alive connections would block new ones. This pool starts a
 * thread whenever a connection would have to wait, up to a limit.
 */
class WorkerThreads : public httplib::TaskQueue
{
public:
    /**
     * @param limit the largest number of threads and thus of connections served at once
     * @param waiting receives the number of connections that are waiting for a thread; belongs to
     * the caller and must outlive the pool
     */
    WorkerThreads(std::size_t limit, std::atomic<std::size_t> &waiting);

    void enqueue(std::function<void()> task) override;

    /** Finishes all queued tasks and joins the threads. */
    void shutdown() override;

private:
    void runTasks();

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
