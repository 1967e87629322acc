#pragma once

#include "dragonflysill/machines/fleetinputs.h"
#include "dragonflysill/machines/sharedbuffer.h"
#include "dragonflysill/machines/waveprogress.h"

#include <string>
#include <string_view>

namespace dragonflysill {

/**
 * Counts the instances of every pool that are out of service or admitted to a wave, and decides
 * whether one more may be taken out. All waves of a pass share one object.
 */
class WaveBudget
{
public:
    /**
     * @param waves all waves in progress; their admitted instances count as out of service
     */
    WaveBudget(const FleetInputs &inputs, const ByName<DeclaredInstance> &declared,
               const ByName<WaveProgress> &waves, const SharedBuffer &buffer);

    /**
     * Returns true if the instance may be taken out. Three conditions hold afterwards: the pool is
     * within its budget; it stays so if the rack with most of its serving instances fails too,
     * unless the budget is too small for that even with one instance out; and serving instances
     * plus idle spares still carry the pool's burst as far as the spare pool is declared for it.
     */
    [[nodiscard]] bool mayTakeOut(const DeclaredInstance &instance) const;

    /** Counts the instance as out of service. */
    void takeOut(const DeclaredInstance &instance);

    /** Returns the failed instances of a pool. */
    [[nodiscard]] int failed(std::string_view pool) const;

    /** Returns why no instance of the pool can be taken out, for operators. */
    [[nodiscard]] std::string describe(std::string_view pool) const;

private:
    struct Count
    {
        int declared = 0;
        int out = 0;
        int failed = 0;
        int budget = 0;
        int burstExcess = 0;
        bool spare = false;
        ByName<int> servingByRack;
    };

    [[nodiscard]] bool carriesBurst(const Count &count) const;

    ByName<Count> m_counts;
    int m_idleSpares = 0;
};

} // namespace dragonflysill
