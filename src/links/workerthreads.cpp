#include "workerthreads.h"

namespace dragonflysill {

WorkerThreads::WorkerThreads(std::size_t limit, std::atomic<std::size_t> &waiting)
    : m_limit(limit)
    , m_waiting(waiting)
{
}

void WorkerThreads::enqueue(std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    m_waiting = m_tasks.size();
    if (m_tasks.size() > m_idle && m_threads.size() < m_limit)
        m_threads.emplace_back([this] { runTasks(); });
    m_wake.notify_one();
}

void WorkerThreads::runTasks()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        ++m_idle;
        m_wake.wait(lock, [this] { return m_stopping || !m_tasks.empty(); });
        --m_idle;
        if (m_tasks.empty())
            return;
        const auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        m_waiting = m_tasks.size();
        lock.unlock();
        task();
        lock.lock();
    }
}

void WorkerThreads::shutdown()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    for (std::thread &it : m_threads)
        it.join();
    m_threads.clear();
}

} // namespace dragonflysill
