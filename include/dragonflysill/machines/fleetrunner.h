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

/** What one pass of a FleetRunner did and what it could not do. */
struct FleetReport
{
    std::optional<Error> error; ///< Why the pass ended early.
    std::optional<Error> placementError; ///< Why placement made no progress.
    std::vector<FleetEvent> events;
    FleetStatus status; ///< Of the owned pools; complete also if the pass wrote nothing.
    std::set<std::string, std::less<>> ownedPools;
    int writes = 0;
};

/**
 * Executes the fleet decisions of one control process against the store, one pass at a time. It
 * keeps no durable state: after a restart or a change of owner the next pass continues from the
 * store. A pool is left alone until the view contains every change of its records that this
 * process wrote, lost the answer of, or inherited from the previous owner, so that no decision
 * counts from an older state. Not thread-safe; the owner calls it from one thread.
 */
class FleetRunner
{
public:
    /** Writes per pass; eight processes that pass once a second stay below the store's limit. */
    static constexpr int maxWritesPerPass = 64;

    /** @param self the member's name; store, fence and platform must outlive the object */
    FleetRunner(std::string self, Store &store, const Fence &fence, FleetPlatform &platform,
                MoveSettings settings = {});

    /** Adds the placement of jobs on workers; @p tasks must outlive the object. */
    void addPlacement(TaskPlatform &tasks);

    /** Runs one pass; blocks for its store calls. */
    FleetReport runPass(FleetInputs inputs);

private:
    void updateOwnership(const FleetInputs &inputs, StoreOverview &overview, FleetReport &report);
    void removeTerminatedEntries(const FleetInputs &inputs, StoreOverview &overview,
                                 FleetReport &report);
    bool resolveUnknown(const std::string &pool);
    [[nodiscard]] bool mayDecide(const FleetInputs &inputs, const std::string &pool);
    ByName<WaveProgress> runWaves(const FleetInputs &inputs,
                                  const ByName<DeclaredInstance> &declared,
                                  const SharedBuffer &buffer, const StoreOverview &overview,
                                  FleetReport &report);
    void decideInstances(const FleetInputs &inputs, const ByName<DeclaredInstance> &declared,
                         const ByName<WaveProgress> &waves, FleetReport &report);
    void runPlacement(const FleetInputs &inputs, FleetReport &report);
    void requestReboots(const FleetInputs &inputs, const ByName<WaveProgress> &waves,
                        const FleetReport &report);
    void apply(const RecordChange &change, FleetReport &report);
    void noteOutcome(const RecordChange &change, const WriteOutcome &outcome, FleetReport &report);
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
    ByName<std::int64_t> m_requiredRevision; ///< By pool: the view must have reached this.
    ByName<std::set<std::string>> m_unknownKeys; ///< By pool: keys with an unknown last write.
};

} // namespace dragonflysill
