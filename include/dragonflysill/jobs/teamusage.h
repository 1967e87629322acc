#pragma once

#include "dragonflysill/base/resources.h"
#include "dragonflysill/base/stringhash.h"
#include "dragonflysill/jobs/team.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflysill {

class TeamUsage;

/** What one team may have running on the workers of all pools, and its ceiling. */
struct TeamAccount
{
    std::string name;
    int priority = 0; ///< Lower values are served first.
    double weight = 1; ///< See Team::weight.
    Resources ceiling; ///< 0 for no limit of that resource.
    Resources running; ///< Sum of the team's charges.
    /** Upper bound of what workers that have not answered this owner may run beside that. */
    Resources inherited;
    std::set<std::string, std::less<>>
            blockedPools; ///< Pools with steps that wait for its ceiling.
    bool inFreedList = false; ///< See TeamUsage::takeFreedPools().
    /** Its part of the running work against its share by weight, in steps; 0 for half or less. */
    int useLevel = 0;

    /** Returns what counts towards the ceiling. */
    [[nodiscard]] Resources used() const { return running + inherited; }

    /** Returns true if starting @p need brings no resource above the ceiling. */
    [[nodiscard]] bool hasRoom(const Resources &need) const;

    /** Returns true if a run that needs @p amount could be replaced by another one. */
    [[nodiscard]] bool mayReplace(const Resources &amount) const;

    /** Returns true if @p need exceeds the ceiling even while nothing of the team runs. */
    [[nodiscard]] bool canNeverHold(const Resources &need) const;
};

/**
 * Counts a run, or a start that may become one, for its team until the charge is destroyed. It must
 * not outlive its TeamUsage.
 */
class TeamCharge
{
public:
    TeamCharge() = default;
    TeamCharge(TeamUsage &usage, TeamAccount &account, const Resources &amount);
    TeamCharge(TeamCharge &&other) noexcept;
    TeamCharge &operator=(TeamCharge &&other) noexcept;
    ~TeamCharge();

    /** Returns what is counted; zero without a team. */
    [[nodiscard]] const Resources &amount() const { return m_amount; }
    /** Returns the account that is charged; nullptr if there is none. */
    [[nodiscard]] TeamAccount *account() const { return m_account; }

private:
    TeamUsage *m_usage = nullptr;
    TeamAccount *m_account = nullptr;
    Resources m_amount;
};

/**
 * What each team may have running, over all pools and workers, and the ceilings of the teams. Each
 * operation takes constant time.
 */
class TeamUsage
{
public:
    TeamUsage() = default;
    TeamUsage(const TeamUsage &) = delete;
    TeamUsage &operator=(const TeamUsage &) = delete;

    /**
     * Sets the teams of the newest configuration. A team that it does not name keeps its ceiling
     * for the jobs that it has left.
     */
    void setTeams(std::span<const Team> teams);

    /** Returns true if a configuration is known. */
    [[nodiscard]] bool knowsTeams() const { return m_knowsTeams; }

    /**
     * Returns the account of a team, which is created if it is new and stays valid; nullptr for an
     * empty name.
     */
    [[nodiscard]] TeamAccount *account(std::string_view team);
    [[nodiscard]] const StringMap<TeamAccount> &accounts() const { return m_accounts; }

    /** Updates TeamAccount::useLevel of all teams by the resource of which each uses most. */
    void updateUseLevels(const Resources &capacity);

    /** Sets TeamAccount::inherited of the teams; that of teams without an entry is zero. */
    void setInherited(const std::map<TeamAccount *, Resources> &bounds);

    /** Records that steps of a pool wait for room below a team's ceiling. */
    static void addBlockedPool(TeamAccount &account, const std::string &pool);

    /**
     * Removes and returns the pools with steps that waited for the ceiling of a team that may have
     * more room since the last call.
     */
    [[nodiscard]] std::set<std::string, std::less<>> takeFreedPools();

private:
    friend class TeamCharge;

    void mayHaveRoom(TeamAccount &account);

    bool m_knowsTeams = false;
    StringMap<TeamAccount> m_accounts;
    std::vector<TeamAccount *> m_freed;
    std::vector<TeamAccount *> m_bounded; ///< Teams with a TeamAccount::inherited.
};

} // namespace dragonflysill
