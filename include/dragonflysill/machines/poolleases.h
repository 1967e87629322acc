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

/** What one read at the start of a pass returned from the store. */
struct StoreOverview
{
    std::int64_t revision = 0;
    LeaseId lease = 0; ///< The lease of this process's registration.
    ByName<KeyValue> owners; ///< `owners/pool/` keys by pool.
    ByName<KeyValue> entries; ///< `entries/` keys by entry instance.
    ByName<KeyValue> waves; ///< `waves/` keys by maintenance order.
};

/**
 * Reads the overview in one transaction that compares the registration.
 * @return the overview; LeaseLost if the registration is gone, or the store's error
 */
Result<StoreOverview> readOverview(Store &store, const Fence &fence, std::string_view self);

/**
 * Takes and releases the ownership keys of pools. Each key is attached to the lease of the
 * process's registration, so that the pools of a lost process become free when it expires.
 */
class PoolLeases
{
public:
    /** @param self the member's name; store and writer must outlive the object */
    PoolLeases(std::string self, FencedWriter &writer);

    /**
     * Brings the keys in line with the live members.
     * @param pools the names of all pools
     * @param overview the state just read; it is updated with the keys that were written
     * @return the pools that were taken in this call
     */
    std::vector<std::string> update(std::span<const std::string> members,
                                    std::span<const std::string> pools, StoreOverview &overview,
                                    std::vector<FleetEvent> &events);

    /** Returns true if the overview names this process as the owner. */
    [[nodiscard]] bool owns(const StoreOverview &overview, std::string_view pool) const;

    /** Returns the comparison that a write for an owned pool must contain. */
    [[nodiscard]] Compare condition(std::string_view pool) const;

private:
    std::string m_self;
    FencedWriter &m_writer;
};

} // namespace dragonflysill
