#pragma once

#include "dragonflysill/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflysill {

/** Phase of an instance's life cycle in a pool. */
enum class InstancePhase {
    Serving, ///< Receives the work of its pool.
    Leaving, ///< Draining: receives no new work, and work in flight finishes.
    Warming, ///< Joined its pool and receives a reduced share of work (slow start).
    Maintenance, ///< Under maintenance; receives no work.
    Failed, ///< Terminated in the platform's list.
};

/**
 * The stored state of an instance, including the pool that it belongs to. The record is changed
 * only by compare-and-swap, so an instance is in exactly one pool at any time.
 */
struct InstanceRecord
{
    std::string name;
    std::string address; ///< IP and port of its backend server.
    std::string zone; ///< Availability zone.
    std::string rack;
    std::string pool;
    /** Incremented each time the instance may receive work again after a drain. */
    std::int64_t epoch = 0;
    InstancePhase phase = InstancePhase::Serving;
    std::string targetPool; ///< The pool it moves to; empty if it is not moving.
    std::int64_t sinceMs = 0; ///< Unix time of the last phase change.

    bool operator==(const InstanceRecord &) const = default;
};

/** Returns the name of a phase as used in JSON, for example "serving". */
std::string_view toText(InstancePhase phase);

/** Encodes a record as JSON for the store. */
std::string encodeRecord(const InstanceRecord &record);

/** Decodes a stored record; returns Corrupt if the text is not valid. */
Result<InstanceRecord> decodeRecord(std::string_view text);

} // namespace dragonflysill
