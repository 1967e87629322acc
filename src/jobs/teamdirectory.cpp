#include "dragonflysill/jobs/teamdirectory.h"

namespace dragonflysill {

namespace internal {

bool SameKey::operator()(std::string_view a, std::string_view b) const
{
    if (a.size() != b.size())
        return false;
    unsigned difference = 0;
    for (std::size_t n = 0; n < a.size(); ++n)
        difference |= static_cast<unsigned char>(a[n]) ^ static_cast<unsigned char>(b[n]);
    return difference == 0;
}

} // namespace internal

TeamDirectory::TeamDirectory(const std::vector<Team> &teams)
{
    std::size_t keys = 0;
    for (const auto &it : teams)
        keys += it.keys.size();
    m_names.reserve(teams.size());
    m_teamOfKey.reserve(keys);
    for (const auto &it : teams) {
        for (const auto &key : it.keys)
            m_teamOfKey.emplace(key, static_cast<std::uint32_t>(m_names.size()));
        m_names.push_back(it.name);
    }
}

const std::string *TeamDirectory::team(std::string_view key) const
{
    const auto it = m_teamOfKey.find(key);
    return it == m_teamOfKey.end() ? nullptr : &m_names[it->second];
}

} // namespace dragonflysill
