#include "dragonflysill/zones/memberreport.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

namespace internal {

auto findReport(std::vector<MemberReport> &reports, std::string_view name)
{
    return std::lower_bound(reports.begin(), reports.end(), name,
                            [](const MemberReport &a, std::string_view b) { return a.name < b; });
}

} // namespace internal

void MemberReports::update(MemberReport report)
{
    const std::lock_guard lock(m_mutex);
    const auto it = internal::findReport(m_reports, report.name);
    if (it == m_reports.end() || it->name != report.name)
        m_reports.insert(it, std::move(report));
    else if (report.incarnation >= it->incarnation)
        *it = std::move(report);
}

void MemberReports::setAlive(std::string_view name, bool alive)
{
    const std::lock_guard lock(m_mutex);
    const auto it = internal::findReport(m_reports, name);
    if (it != m_reports.end() && it->name == name)
        it->alive = alive;
}

void MemberReports::remove(std::string_view name)
{
    const std::lock_guard lock(m_mutex);
    const auto it = internal::findReport(m_reports, name);
    if (it != m_reports.end() && it->name == name)
        m_reports.erase(it);
}

std::vector<MemberReport> MemberReports::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    return m_reports;
}

} // namespace dragonflysill
