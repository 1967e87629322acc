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
    std::int64_t epoch
            = 0; ///< Epoch of its record; a higher epoch means that it has rejoined a pool.
    /** The platform's list showed it as leaving. When the list shows it as live, it was rebooted.
     */
    bool drained = false;

    bool operator==(const WaveAdmission &) const = default;
};

/**
 * The stored state of a maintenance wave, under the key `waves/NAME`. Any control process can
 * continue the wave from it.
 */
struct WaveProgress
{
    std::string name;
    std::int64_t ticket = 0; ///< Number of the ticket that started this run of the order.
    WaveState state = WaveState::Running;
    std::vector<std::string> pools; ///< The order's pools; stored because the order may be deleted.
    ByName<WaveAdmission> active; ///< Admitted instances that are not done yet.
    std::set<std::string, std::less<>> done; ///< Instances that were maintained.
    std::int64_t sinceMs = 0; ///< Unix time of the last change of state.

    bool operator==(const WaveProgress &) const = default;
};

/** Encodes a wave as JSON for the store. */
std::string encodeWave(const WaveProgress &progress);

/** Decodes a stored wave; returns Corrupt if the text is not valid. */
Result<WaveProgress> decodeWave(std::string_view text);

} // namespace dragonflysill
