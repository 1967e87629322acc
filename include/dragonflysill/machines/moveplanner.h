#pragma once

#include "dragonflysill/machines/fleetinputs.h"
#include "dragonflysill/machines/poolcapacity.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** A change of one instance record. Without `before` it is created, without `after` deleted. */
struct RecordChange
{
    std::optional<InstanceRecord> before;
    std::optional<InstanceRecord> after;

    bool operator==(const RecordChange &) const = default;
};

/** The next change of one instance, or the reason why it has to wait. */
struct MovePlan
{
    std::optional<RecordChange> change;
    std::vector<std::string> waitingFor; ///< Entries whose acknowledgement is missing.
    std::string reason; ///< What the instance waits for; empty if it makes progress.
    std::string remedy; ///< What an operator can do about the reason.
};

/** The maintenance step that an instance needs next according to the waves. */
enum class MaintenanceNeed {
    None,
    Start, ///< A wave admitted the instance; it must be drained and rebooted.
    Finished, ///< The platform completed the reboot; the instance can rejoin its pool.
};

/** Time limits of moves. */
struct MoveSettings
{
    /** Slow-start time after which an instance that joined a pool counts as serving. */
    std::chrono::milliseconds warmUp{2000};
    /** A drain that takes longer is reported with the entries that have not acknowledged it. */
    std::chrono::milliseconds drainDeadline{2000};
};

/**
 * Determines the next change of an instance record from the record, its declaration, the
 * acknowledgements of the entries and the platform's list. The epoch is incremented each time an
 * instance may receive work again after a drain, also in the same pool; otherwise an old
 * acknowledgement would be valid for a later drain. The first epoch of a record is the store's
 * revision, which is higher than any epoch of an earlier record with the same name. The result
 * depends only on the inputs, including their `nowMs`.
 */
class MovePlanner
{
public:
    /**
     * @param inputs the inputs of the pass; must outlive the object
     * @param capacity the availability budgets, shared by all instances of the pass
     */
    MovePlanner(const FleetInputs &inputs, PoolCapacity &capacity, MoveSettings settings = {});

    /**
     * Returns the next step of one instance.
     * @param name the instance's name
     * @param declared its declaration, or null if the configuration does not contain it
     * @param need the maintenance step that the waves require
     */
    MovePlan decide(std::string_view name, const DeclaredInstance *declared,
                    MaintenanceNeed need = MaintenanceNeed::None);

private:
    MovePlan create(std::string_view name, const DeclaredInstance &declared) const;
    MovePlan decideServing(const InstanceRecord &record, const DeclaredInstance *declared,
                           MaintenanceNeed need);
    MovePlan decideLeaving(const InstanceRecord &record, const DeclaredInstance *declared,
                           MaintenanceNeed need) const;
    MovePlan decideWarming(const InstanceRecord &record, const DeclaredInstance *declared,
                           MaintenanceNeed need);
    MovePlan decideMaintenance(const InstanceRecord &record, const DeclaredInstance *declared,
                               MaintenanceNeed need) const;
    MovePlan decideFailed(const InstanceRecord &record, const DeclaredInstance *declared) const;
    MovePlan startLeaving(const InstanceRecord &record, std::string targetPool);
    MovePlan join(const InstanceRecord &record, const DeclaredInstance &declared) const;
    [[nodiscard]] std::vector<std::string> missingAcknowledgements(const InstanceRecord &r) const;
    [[nodiscard]] std::optional<PlatformState> platformState(std::string_view name) const;

    const FleetInputs &m_inputs;
    PoolCapacity &m_capacity;
    MoveSettings m_settings;
};

} // namespace dragonflysill
