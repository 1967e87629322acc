#include "dragonflysill/store/fence.h"

#include <utility>

namespace dragonflysill {

void Fence::set(std::string key, std::int64_t createRevision)
{
    const std::lock_guard lock(m_mutex);
    m_key = std::move(key);
    m_createRevision = createRevision;
}

void Fence::clear()
{
    const std::lock_guard lock(m_mutex);
    m_createRevision = 0;
}

std::optional<Compare> Fence::compare() const
{
    const std::lock_guard lock(m_mutex);
    if (m_createRevision == 0)
        return std::nullopt;
    return Compare{
            m_key, CompareTarget::CreateRevision, CompareRelation::Equal, m_createRevision, {}};
}

} // namespace dragonflysill
