#pragma once

#include "dragonflysill/machines/fencedwriter.h"
#include "dragonflysill/machines/fleetevent.h"
#include "dragonflysill/machines/fleetinputs.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** The keys that a pass reads from the store when it starts. */
struct StoreOverview
{
    std::int64_t revision = 0;
    LeaseId lease = 0; ///< The lease of this process's registration.
    ByName<KeyValue> owners; ///< `owners/pool/` keys by pool.
    ByName<KeyValue> entries; ///< `entries/` keys by entry instance.
    ByName<KeyValue> waves; ///< `waves/` keys by maintenance order.
};

/**
 * Reads the overview in one transaction that also checks the process's registration.
 * @param self the member's name
 * @return the overview; LeaseLost if the registration does not exist any more; or the store's error
 */
Result<StoreOverview> readOverview(Store &store, const Fence &fence, std::string_view self);

/**
 * Creates and deletes the ownership keys of pools. Each key is attached to the lease of the
 * process's registration, so that the pools of a failed process become free when the lease expires.
 */
class PoolLeases
{
public:
    /** @param self the member's name; store and writer must outlive the object */
    PoolLeases(std::string self, FencedWriter &writer);

    /**
     * Takes and releases pools so that their owners match the live members.
     * @param pools the names of all pools
     * @param overview the keys read in this pass; updated with the keys that were written
     * @param events receives the changes of ownership
     * @return the pools that were taken in this call
     */
    std::vector<std::string> update(std::span<const std::string> members,
                                    std::span<const std::string> pools, StoreOverview &overview,
                                    std::vector<FleetEvent> &events);

    /** Returns true if this process owns the pool according to the overview. */
    [[nodiscard]] bool owns(const StoreOverview &overview, std::string_view pool) const;

    /** Returns the comparison that every write for an owned pool must contain. */
    [[nodiscard]] Compare condition(std::string_view pool) const;

private:
    std::string m_self;
    FencedWriter &m_writer;
};

} // namespace dragonflysill
