#include "dragonflysill/links/connectionpool.h"

#include <algorithm>
#include <iterator>

namespace dragonflysill {

namespace internal {

bool expired(const ConnectionPointer &connection, TimePoint now)
{
    return now - connection->idleSince >= connection->idleLimit;
}

} // namespace internal

ConnectionPointer ConnectionPool::take(const std::string &address, TimePoint now)
{
    ConnectionPointer closing; // Closed after the lock is released.
    const std::lock_guard lock(m_mutex);
    const auto it = m_idle.find(address);
    if (it == m_idle.end() || it->second.empty())
        return nullptr;
    ConnectionPointer connection = std::move(it->second.back());
    it->second.pop_back();
    if (internal::expired(connection, now)) {
        closing = std::move(connection);
        return nullptr;
    }
    return connection;
}

void ConnectionPool::putBack(ConnectionPointer connection, TimePoint now)
{
    connection->reused = true;
    connection->idleSince = now;
    const std::lock_guard lock(m_mutex);
    m_idle[connection->address].push_back(std::move(connection));
}

void ConnectionPool::pruneIdle(const std::set<std::string> &addresses, TimePoint now)
{
    std::vector<ConnectionPointer> closing; // Closed after the lock is released.
    const std::lock_guard lock(m_mutex);
    for (auto &it : m_idle) {
        auto &idle = it.second;
        const bool keep = addresses.contains(it.first);
        const auto end = std::stable_partition(idle.begin(), idle.end(), [&](const auto &c) {
            return keep && !internal::expired(c, now);
        });
        std::move(end, idle.end(), std::back_inserter(closing));
        idle.erase(end, idle.end());
    }
    std::erase_if(m_idle, [](const auto &it) { return it.second.empty(); });
}

} // namespace dragonflysill
