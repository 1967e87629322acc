#include "dragonflysill/jobs/teamusage.h"

#include <algorithm>

namespace dragonflysill {

namespace internal {

/** Returns true if a resource with this ceiling holds the need beside what is used. */
bool fits(std::int64_t need, std::int64_t used, std::int64_t ceiling)
{
    return need == 0 || ceiling == 0 || need <= ceiling - used;
}

bool fits(const Resources &need, const Resources &used, const Resources &ceiling)
{
    return fits(need.milliCores, used.milliCores, ceiling.milliCores)
           && fits(need.memoryMb, used.memoryMb, ceiling.memoryMb)
           && fits(need.accelerators, used.accelerators, ceiling.accelerators);
}

/** Steps of a use level for each share by weight, and the maximum level. */
constexpr double useLevelsPerShare = 2;
constexpr double maxUseLevel = 16;

double part(std::int64_t used, std::int64_t capacity)
{
    return capacity > 0 ? static_cast<double>(used) / static_cast<double>(capacity) : 0;
}

/** Returns the part of the capacity that is used of the resource of which most is used. */
double dominantPart(const Resources &used, const Resources &capacity)
{
    return std::max({part(used.milliCores, capacity.milliCores),
                     part(used.memoryMb, capacity.memoryMb),
                     part(used.accelerators, capacity.accelerators)});
}

} // namespace internal

bool TeamAccount::hasRoom(const Resources &need) const
{
    return internal::fits(need, used(), ceiling);
}

bool TeamAccount::mayReplace(const Resources &amount) const
{
    return internal::fits(amount, used() - amount, ceiling);
}

bool TeamAccount::canNeverHold(const Resources &need) const
{
    return !internal::fits(need, {}, ceiling);
}

TeamCharge::TeamCharge(TeamUsage &usage, TeamAccount &account, const Resources &amount)
    : m_usage(&usage)
    , m_account(&account)
    , m_amount(amount)
{
    account.running += amount;
}

TeamCharge::TeamCharge(TeamCharge &&other) noexcept
    : m_usage(other.m_usage)
    , m_account(std::exchange(other.m_account, nullptr))
    , m_amount(std::exchange(other.m_amount, {}))
{
}

TeamCharge &TeamCharge::operator=(TeamCharge &&other) noexcept
{
    // The charge held before ends with the other object.
    std::swap(m_usage, other.m_usage);
    std::swap(m_account, other.m_account);
    std::swap(m_amount, other.m_amount);
    const TeamCharge replaced(std::move(other));
    return *this;
}

TeamCharge::~TeamCharge()
{
    if (m_account == nullptr)
        return;
    m_account->running -= m_amount;
    m_usage->mayHaveRoom(*m_account);
}

void TeamUsage::setTeams(std::span<const Team> teams)
{
    m_knowsTeams = true;
    for (const auto &it : teams) {
        auto *known = account(it.name);
        if (known == nullptr)
            continue;
        known->ceiling = it.ceiling;
        known->weight = it.weight;
        known->priority = it.priority;
    }
    for (auto &[name, it] : m_accounts)
        mayHaveRoom(it);
}

TeamAccount *TeamUsage::account(std::string_view team)
{
    if (team.empty())
        return nullptr;
    if (const auto it = m_accounts.find(team); it != m_accounts.end())
        return &it->second;
    auto &added = m_accounts[std::string(team)];
    added.name = team;
    return &added;
}

void TeamUsage::updateUseLevels(const Resources &capacity)
{
    double weights = 0;
    for (const auto &[name, it] : m_accounts)
        weights += it.weight;
    for (auto &[name, it] : m_accounts) {
        const double share = weights > 0 ? it.weight / weights : 0;
        const double used = internal::dominantPart(it.running, capacity);
        const double level = share > 0  ? internal::useLevelsPerShare * used / share
                             : used > 0 ? internal::maxUseLevel
                                        : 0;
        it.useLevel = static_cast<int>(std::min(level, internal::maxUseLevel));
    }
}

void TeamUsage::setInherited(const std::map<TeamAccount *, Resources> &bounds)
{
    std::vector<std::pair<TeamAccount *, Resources>> before;
    for (auto *it : std::exchange(m_bounded, {}))
        before.emplace_back(it, std::exchange(it->inherited, {}));
    for (const auto &[account, bound] : bounds) {
        account->inherited = bound;
        m_bounded.push_back(account);
    }
    for (const auto &[account, bound] : before) {
        if (account->inherited != bound)
            mayHaveRoom(*account);
    }
}

void TeamUsage::addBlockedPool(TeamAccount &account, const std::string &pool)
{
    if (!account.blockedPools.contains(pool))
        account.blockedPools.insert(pool);
}

std::set<std::string, std::less<>> TeamUsage::takeFreedPools()
{
    std::set<std::string, std::less<>> pools;
    for (auto *it : std::exchange(m_freed, {})) {
        it->inFreedList = false;
        pools.merge(it->blockedPools);
        it->blockedPools.clear();
    }
    return pools;
}

void TeamUsage::mayHaveRoom(TeamAccount &account)
{
    if (!account.blockedPools.empty() && !std::exchange(account.inFreedList, true))
        m_freed.push_back(&account);
}

} // namespace dragonflysill
