#include "connectionpool.h"

#include <utility>

namespace dragonflysill::internal {

std::unique_ptr<httplib::Client> ConnectionPool::acquire()
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_idle.empty()) {
            auto connection = std::move(m_idle.back());
            m_idle.pop_back();
            return connection;
        }
    }
    return open(m_limits.callTimeout);
}

void ConnectionPool::release(std::unique_ptr<httplib::Client> connection)
{
    const std::lock_guard lock(m_mutex);
    if (m_idle.size() < m_limits.maxIdle)
        m_idle.push_back(std::move(connection));
}

void ConnectionPool::closeIdle()
{
    std::vector<std::unique_ptr<httplib::Client>> closed;
    const std::lock_guard lock(m_mutex);
    closed.swap(m_idle);
}

std::unique_ptr<httplib::Client> ConnectionPool::open(std::chrono::milliseconds readTimeout) const
{
    auto connection = std::make_unique<httplib::Client>("http://" + m_endpoint);
    connection->set_keep_alive(true);
    connection->set_tcp_nodelay(true);
    connection->set_connection_timeout(m_limits.connectTimeout);
    connection->set_read_timeout(readTimeout);
    connection->set_write_timeout(m_limits.callTimeout);
    return connection;
}

} // namespace dragonflysill::internal
