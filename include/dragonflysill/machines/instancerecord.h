#pragma once

#include "dragonflysill/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflysill {

/** Where an instance stands in its life within a pool. */
enum class InstancePhase {
    Serving, ///< Receives work of its pool.
    Leaving, ///< Receives no new work; work in flight finishes.
    Warming, ///< Joined its pool and starts slowly.
    Maintenance, ///< Is being maintained; receives no work.
    Failed, ///< The platform reports it gone or failed.
};

/**
 * The actual state of an instance: the one pool that it belongs to. The record in the store changes
 * only by compare-and-swap, so an instance is in exactly one pool at any moment.
 */
struct InstanceRecord
{
    std::string name;
    std::string address; ///< IP and port of its backend server.
    std::string zone; ///< Availability zone.
    std::string rack;
    std::string pool;
    /** Grows each time the instance may receive work again after a drain, also in the same pool. */
    std::int64_t epoch = 0;
    InstancePhase phase = InstancePhase::Serving;
    std::string targetPool; ///< The pool it moves to; empty if it is not moving.
    std::int64_t sinceMs = 0; ///< Unix time of the last phase change.

    bool operator==(const InstanceRecord &) const = default;
};

/** Returns the fixed text of a phase, for example "serving". */
std::string_view toText(InstancePhase phase);

/** Returns the JSON text that the store holds for a record. */
std::string encodeRecord(const InstanceRecord &record);

/** Decodes a stored record; Corrupt if the text is not a record. */
Result<InstanceRecord> decodeRecord(std::string_view text);

} // namespace dragonflysill
