#pragma once

#include "dragonflysill/machines/fencedwriter.h"
#include "dragonflysill/machines/fleetevent.h"
#include "dragonflysill/machines/fleetinputs.h"
#include "dragonflysill/machines/fleetplatform.h"
#include "dragonflysill/machines/fleetstatus.h"
#include "dragonflysill/machines/moveplanner.h"
#include "dragonflysill/machines/placementrunner.h"
#include "dragonflysill/machines/poolleases.h"
#include "dragonflysill/machines/rebootplanner.h"
#include "dragonflysill/machines/sharedbuffer.h"
#include "dragonflysill/machines/waverunner.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflysill {

/** The results and errors of one pass of a FleetRunner. */
struct FleetReport
{
    std::optional<Error> error; ///< Error that ended the pass early.
    std::optional<Error> placementError; ///< Error that ended the placement of tasks in this pass.
    std::vector<FleetEvent> events;
    FleetStatus status; ///< Of the owned pools; also filled if the pass wrote nothing.
    std::set<std::string, std::less<>> ownedPools;
    int writes = 0; ///< Writes of instance records that were attempted.
};

/**
 * Runs moves, maintenance waves and task placement for the pools that one control process owns, one
 * pass at a time. All durable state is in the store, so the next pass after a restart or a change
 * of owner continues from there. No decision is made for a pool until the view contains all changes
 * of its records that this process wrote, that it may have written before an answer was lost, or
 * that the previous owner wrote; a decision from an older view could exceed a budget. Not
 * thread-safe; the owner calls it from one thread.
 */
class FleetRunner
{
public:
    /**
     * Instance records written per pass. Eight processes that each run one pass per second stay
     * below the store's limit on writes.
     */
    static constexpr int maxWritesPerPass = 64;

    /** @param self the member's name; store, fence and platform must outlive the object */
    FleetRunner(std::string self, Store &store, const Fence &fence, FleetPlatform &platform,
                MoveSettings settings = {});

    /** Enables the placement of tasks on workers; @p tasks must outlive the object. */
    void addPlacement(TaskPlatform &tasks);

    /** Runs one pass. Blocks until its calls to the store and the platform return. */
    FleetReport runPass(FleetInputs inputs);

private:
    void updateOwnership(const FleetInputs &inputs, StoreOverview &overview, FleetReport &report);
    void removeTerminatedEntries(const FleetInputs &inputs, StoreOverview &overview,
                                 FleetReport &report);
    bool resolveUnknownWrites(const std::string &pool);
    [[nodiscard]] bool isViewCurrent(const FleetInputs &inputs, const std::string &pool);
    ByName<WaveProgress> runWaves(const FleetInputs &inputs,
                                  const ByName<DeclaredInstance> &declared,
                                  const SharedBuffer &buffer, const StoreOverview &overview,
                                  FleetReport &report);
    void decideInstances(const FleetInputs &inputs, const ByName<DeclaredInstance> &declared,
                         const ByName<WaveProgress> &waves, FleetReport &report);
    void runPlacement(const FleetInputs &inputs, FleetReport &report);
    void requestReboots(const FleetInputs &inputs, const ByName<WaveProgress> &waves,
                        const FleetReport &report);
    void writeChange(const RecordChange &change, FleetReport &report);
    void recordOutcome(const RecordChange &change, const WriteOutcome &outcome,
                       FleetReport &report);
    void requireRevision(const std::string &pool, std::int64_t revision);

    std::string m_self;
    Store &m_store;
    const Fence &m_fence;
    FleetPlatform &m_platform;
    MoveSettings m_settings;
    FencedWriter m_writer;
    PoolLeases m_leases;
    WaveRunner m_waves;
    RebootPlanner m_reboots;
    std::unique_ptr<PlacementRunner> m_placement;
    ByName<std::int64_t> m_requiredRevision; ///< By pool: lowest view revision for decisions.
    ByName<std::set<std::string>>
            m_unknownKeys; ///< By pool: keys whose last write has an unknown outcome.
};

} // namespace dragonflysill
