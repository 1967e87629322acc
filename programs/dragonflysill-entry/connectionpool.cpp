#include "connectionpool.h"

#include "dragonflysill/telemetry/settings.h"

#include <algorithm>

namespace dragonflysill {

namespace internal {

bool expired(const ConnectionPointer &connection, TimePoint now)
{
    return now - connection->idleSince >= connection->idleLimit;
}

} // namespace internal

BackendConnection::BackendConnection(const std::string &text)
    : address(text)
    , client(Endpoint::parse(text).value_or(Endpoint()).host,
             Endpoint::parse(text).value_or(Endpoint()).port)
    , idleLimit(ConnectionPool::defaultIdleLimit)
{
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_follow_location(false);
    client.set_decompress(false);
    client.set_url_encode(false);
}

ConnectionPointer ConnectionPool::take(const std::string &address, bool fresh)
{
    ConnectionPointer stale; // Closed after the lock is released.
    if (!fresh) {
        const TimePoint now = steadyNow();
        const std::lock_guard lock(m_mutex);
        auto &idle = m_idle[address];
        if (!idle.empty() && !internal::expired(idle.back(), now)) {
            ConnectionPointer connection = std::move(idle.back());
            idle.pop_back();
            return connection;
        }
        if (!idle.empty()) {
            stale = std::move(idle.back());
            idle.pop_back();
        }
    }
    return std::make_unique<BackendConnection>(address);
}

void ConnectionPool::putBack(ConnectionPointer connection, TimePoint now)
{
    connection->reused = true;
    connection->idleSince = now;
    const std::lock_guard lock(m_mutex);
    m_idle[connection->address].push_back(std::move(connection));
}

void ConnectionPool::retain(const std::set<std::string> &addresses, TimePoint now)
{
    std::vector<ConnectionPointer> closing;
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

void ConnectionPool::closeIdle(const std::string &address)
{
    std::vector<ConnectionPointer> closing;
    const std::lock_guard lock(m_mutex);
    const auto it = m_idle.find(address);
    if (it != m_idle.end())
        closing.swap(it->second);
}

} // namespace dragonflysill
