#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/contracts/configuration.h"
#include "dragonflysill/machines/fleetstatus.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** The state of an instance when a wave admitted it. */
struct WaveAdmission
{
    std::int64_t epoch = 0; ///< Epoch of its record; a higher one means that it was maintained.
    /** The platform's list showed it as leaving; if it shows it as live again, it was rebooted. */
    bool drained = false;

    bool operator==(const WaveAdmission &) const = default;
};

/**
 * What the store holds of a maintenance wave under `waves/NAME`. Any control process continues a
 * wave from it.
 */
struct WaveProgress
{
    std::string name;
    std::int64_t ticket = 0; ///< Ticket of the order that started this round.
    WaveState state = WaveState::Running;
    std::vector<std::string> pools; ///< The order's pools; kept for an order that is deleted.
    ByName<WaveAdmission> active;
    std::set<std::string, std::less<>> done;
    std::int64_t sinceMs = 0; ///< Unix time of the last change of state.

    bool operator==(const WaveProgress &) const = default;
};

/** Returns the JSON text that the store holds for a wave. */
std::string encodeWave(const WaveProgress &progress);

/** Decodes a stored wave; Corrupt if the text is not a wave. */
Result<WaveProgress> decodeWave(std::string_view text);

} // namespace dragonflysill
