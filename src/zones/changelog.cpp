#include "dragonflysill/zones/changelog.h"

#include <utility>

namespace dragonflysill {

void ChangeLog::append(std::int64_t from, std::int64_t to, std::vector<KeyUpdate> updates)
{
    if (!m_changes.empty() && m_changes.back().to != from) {
        m_changes.clear();
        m_bytes = 0;
    }
    std::size_t bytes = sizeof(Change);
    for (const auto &it : updates)
        bytes += sizeof(KeyUpdate) + it.key.size() + it.value.size();
    m_changes.push_back({from, to, std::move(updates), bytes});
    m_bytes += bytes;
    while (m_bytes > m_limit) {
        m_bytes -= m_changes.front().bytes;
        m_changes.pop_front();
    }
}

std::optional<std::vector<KeyUpdate>> ChangeLog::after(std::int64_t revision) const
{
    if (m_changes.empty() || revision < m_changes.front().from)
        return std::nullopt;
    std::vector<KeyUpdate> updates;
    for (const auto &it : m_changes) {
        if (it.to > revision)
            updates.insert(updates.end(), it.updates.begin(), it.updates.end());
    }
    return updates;
}

} // namespace dragonflysill
