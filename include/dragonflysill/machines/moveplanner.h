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

/** A change of one instance record: no `before` creates it, no `after` deletes it. */
struct RecordChange
{
    std::optional<InstanceRecord> before;
    std::optional<InstanceRecord> after;

    bool operator==(const RecordChange &) const = default;
};

/** The decision for one instance: at most one change, or what prevents the next one. */
struct MoveVerdict
{
    std::optional<RecordChange> change;
    std::vector<std::string> waitingFor; ///< Entries whose acknowledgement is missing.
    std::string reason; ///< What the instance waits for; empty if it makes progress.
    std::string remedy; ///< What an operator can do about the reason.
};

/** What the wave decision wants for an instance. */
enum class MaintenanceNeed {
    None,
    Start, ///< The wave admitted the instance; it must be drained.
    Finished, ///< The platform completed the reboot.
};

/** Times of the move decision. */
struct MoveSettings
{
    /** An instance that joined a pool counts as serving after this time of slow start. */
    std::chrono::milliseconds warmUp{2000};
    /** A drain that takes longer is reported with the entries that it waits for. */
    std::chrono::milliseconds drainDeadline{2000};
};

/**
 * Decides the next change of one instance record from record, declaration, acknowledgements and
 * the platform's list. The epoch grows each time an instance may receive work again after it was
 * drained, also when it returns to the same pool; otherwise an old acknowledgement would be valid
 * for a later drain. The first epoch of a record is the store's revision, which is higher than any
 * epoch of an earlier record with the same name. Pure: the inputs and `nowMs` decide everything.
 */
class MovePlanner
{
public:
    /**
     * @param inputs what the pass reads; it must outlive the object
     * @param capacity the availability budgets, shared by all decisions of the pass
     */
    MovePlanner(const FleetInputs &inputs, PoolCapacity &capacity, MoveSettings settings = {});

    /**
     * Decides for one instance.
     * @param name the instance
     * @param declared its declaration, or null if the configuration does not contain it
     * @param need what the wave decision wants for it
     */
    MoveVerdict decide(std::string_view name, const DeclaredInstance *declared,
                       MaintenanceNeed need = MaintenanceNeed::None);

private:
    MoveVerdict create(std::string_view name, const DeclaredInstance &declared) const;
    MoveVerdict decideServing(const InstanceRecord &record, const DeclaredInstance *declared,
                              MaintenanceNeed need);
    MoveVerdict decideLeaving(const InstanceRecord &record, const DeclaredInstance *declared,
                              MaintenanceNeed need) const;
    MoveVerdict decideWarming(const InstanceRecord &record, const DeclaredInstance *declared,
                              MaintenanceNeed need);
    MoveVerdict decideMaintenance(const InstanceRecord &record, const DeclaredInstance *declared,
                                  MaintenanceNeed need) const;
    MoveVerdict decideFailed(const InstanceRecord &record, const DeclaredInstance *declared) const;
    MoveVerdict startLeaving(const InstanceRecord &record, std::string targetPool);
    MoveVerdict join(const InstanceRecord &record, const DeclaredInstance &declared) const;
    [[nodiscard]] std::vector<std::string> missingAcknowledgements(const InstanceRecord &r) const;
    [[nodiscard]] std::optional<PlatformState> platformState(std::string_view name) const;

    const FleetInputs &m_inputs;
    PoolCapacity &m_capacity;
    MoveSettings m_settings;
};

} // namespace dragonflysill
