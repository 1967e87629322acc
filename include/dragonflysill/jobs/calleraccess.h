#pragma once

#include "dragonflysill/jobs/configurationproof.h"
#include "dragonflysill/jobs/fleetconfiguration.h"
#include "dragonflysill/jobs/teamdirectory.h"

#include <string>
#include <string_view>

namespace dragonflysill {

/** What the key of a caller allows. */
struct Access
{
    enum class Decision {
        Public, ///< The queue needs no key, or no queue does.
        Allowed, ///< The key belongs to a team.
        UnknownKey, ///< No team has the key, or the caller sent none.
        CannotTell, ///< The node may not know the newest keys.
    };

    /** What is allowed for one job. */
    enum class ToJob {
        Allowed,
        OtherTeam, ///< The job belongs to another team.
        CannotTell, ///< The caller's key may have been removed.
    };

    Decision decision = Decision::UnknownKey;
    std::string team; ///< Team of the key; empty for none.
    bool usesTeams = true; ///< Jobs belong to teams.
    bool proven = true; ///< The key has not been removed too long ago.

    /** Returns whether the caller may use the queue. */
    [[nodiscard]] bool allowed() const
    {
        return decision == Decision::Public || decision == Decision::Allowed;
    }

    /**
     * Returns whether the caller may read, repeat or cancel a job.
     * @param jobTeam the job's team; jobs without a team are everyone's
     */
    [[nodiscard]] ToJob toJob(std::string_view jobTeam) const;
};

/** Decides which callers may use which queues. */
class CallerAccess
{
public:
    /** Replaces the teams and their keys. */
    void setConfiguration(const FleetConfiguration &configuration);

    void setSettings(const AccessSettings &settings) { m_settings = settings; }

    /** Returns the proof of the configuration, to which responses of the store are added. */
    [[nodiscard]] ConfigurationProof &proof() { return m_proof; }
    [[nodiscard]] const ConfigurationProof &proof() const { return m_proof; }

    /**
     * Decides about a call to a queue.
     * @param key the caller's key; empty for none
     * @param now when the call is handled, which is not before the caller sent it
     */
    [[nodiscard]] Access decide(const Queue &queue, std::string_view key, TimePoint now) const;

    /** Returns whether accepting a key needs a proof. */
    [[nodiscard]] bool needsProof() const { return m_usesTeams && m_settings.strictRevocation; }

    /** Returns whether known keys are accepted at this time. */
    [[nodiscard]] bool acceptsKeys(TimePoint now) const;

    [[nodiscard]] const AccessSettings &settings() const { return m_settings; }

private:
    AccessSettings m_settings;
    bool m_usesTeams = false;
    TeamDirectory m_directory;
    ConfigurationProof m_proof;
};

} // namespace dragonflysill
