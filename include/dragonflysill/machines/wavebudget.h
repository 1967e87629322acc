#pragma once

#include "dragonflysill/machines/fleetinputs.h"
#include "dragonflysill/machines/sharedbuffer.h"
#include "dragonflysill/machines/waveprogress.h"

#include <string>
#include <string_view>

namespace dragonflysill {

/**
 * Counts the unavailable instances of each pool, including those admitted to a wave, and checks
 * whether one more can be taken out of service. All waves of a pass share one object.
 */
class WaveBudget
{
public:
    /** @param waves all waves in progress; their admitted instances count as unavailable */
    WaveBudget(const FleetInputs &inputs, const ByName<DeclaredInstance> &declared,
               const ByName<WaveProgress> &waves, const SharedBuffer &buffer);

    /**
     * Returns true if the instance can be taken out of service. Three conditions must hold
     * afterwards: the pool is within its budget; it would still be if the rack with most of its
     * serving instances failed too (not checked for the first instance, because some budgets are
     * too small for that even then); and the serving instances plus the idle spares still cover the
     * pool's burst, as far as the declared size of the spare pool allows.
     */
    [[nodiscard]] bool canTakeOutOfService(const DeclaredInstance &instance) const;

    /** Counts the instance as unavailable. */
    void takeOutOfService(const DeclaredInstance &instance);

    /** Returns the number of failed instances in a pool. */
    [[nodiscard]] int failedInstances(std::string_view pool) const;

    /** Returns the reason, for operators, why no instance of the pool can be taken out of service.
     */
    [[nodiscard]] std::string describeLimit(std::string_view pool) const;

private:
    struct Count
    {
        int declared = 0;
        int unavailable = 0;
        int failed = 0;
        int budget = 0;
        int burstExcess = 0;
        bool spare = false;
        ByName<int> servingByRack;
    };

    [[nodiscard]] bool coversBurst(const Count &count) const;

    ByName<Count> m_counts;
    int m_idleSpares = 0;
};

} // namespace dragonflysill
