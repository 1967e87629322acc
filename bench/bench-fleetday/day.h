#pragma once

#include "deployment.h"

#include "dragonflysill/base/random.h"
#include "dragonflysill/machines/fleetinputs.h"
#include "dragonflysill/machines/moveplanner.h"
#include "dragonflysill/machines/rebootplanner.h"
#include "dragonflysill/machines/waveprogress.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace dragonflysill {

/** The results of one simulated day. */
struct DayFigures
{
    double minutesBelowBudget = 0; ///< Sum over pools.
    double instancesInTwoPools
            = 0; ///< Cases, counted in each step, of entries using one instance for two pools.
    double wavesFinished = 0;
    double wavesOrdered = 0;
    double idleInstances = 0; ///< Mean over the day; the cost of the buffer.
    double moves = 0;
    double tickets = 0;
    double ticketsComplete = 0;
    double meanRolloutSeconds = 0;
    double worstRolloutSeconds = 0;
    double waveHours = 0;
};

/**
 * Simulates one day of the fleet decisions: tickets that move instances, maintenance of every
 * instance with a rack failure halfway, single failures, and an entry process that is isPartitioned
 * for ten minutes. The simulation includes entry processes that apply records with a delay and
 * acknowledge drained instances, and the platform with its reboots.
 */
class Day
{
public:
    Day(const Deployment &deployment, Policy policy, std::uint64_t seed);

    DayFigures run();

private:
    static constexpr std::int64_t stepMs = 2000;
    static constexpr std::int64_t dayMs = 24LL * 3'600'000;

    /** An entry process and the records that it has applied. */
    struct Entry
    {
        std::string name;
        std::int64_t lagMs = 0;
        ByName<InstanceRecord> applied;
        ByName<std::int64_t> leavingSinceMs; ///< When it applied the current drain.
    };

    /** A ticket whose moves are not complete. */
    struct OpenTicket
    {
        std::int64_t acceptedMs = 0;
        std::vector<std::string> instances;
    };

    void acceptTicket();
    void orderMaintenance();
    void failRack();
    void failInstance(const std::string &name, std::int64_t repairMs);
    void advancePlatform();
    void applyViews();
    void decide();
    void decideWaves(const ByName<DeclaredInstance> &declared);
    void change(const RecordChange &change);
    void request(const PlatformRequest &request);
    void recordCompletedTickets();
    void measure();
    [[nodiscard]] bool isPartitioned(const Entry &entry) const;

    Policy m_policy;
    Random m_random;
    DeploymentConfiguration m_deployment;
    FleetInputs m_inputs;
    ByName<WaveProgress> m_waves;
    RebootPlanner m_reboots;
    std::vector<Entry> m_entries;
    std::vector<OpenTicket> m_openTickets;
    ByName<std::int64_t> m_changedMs; ///< By instance: the last change of its record.
    ByName<std::int64_t> m_downUntilMs; ///< Failed instances.
    ByName<std::int64_t> m_rebootingUntilMs;
    std::vector<std::string> m_pendingOrders; ///< Pools that the baseline has not yet maintained.
    DayFigures m_figures;
    double m_rolloutSum = 0;
    std::int64_t m_waveStartMs = 0;
    std::int64_t m_waveEndMs = 0;
};

} // namespace dragonflysill
