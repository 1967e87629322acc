#pragma once

#include "dragonflysill/contracts/configuration.h"
#include "dragonflysill/machines/instancerecord.h"

#include <string_view>

namespace dragonflysill {

/**
 * Counts the serving instances of every pool against its declared size and availability budget.
 * An instance that stops serving is taken from the count at once, so that several decisions of one
 * pass together stay within the budget.
 */
class PoolCapacity
{
public:
    PoolCapacity(const Configuration &configuration, const ByName<InstanceRecord> &records);

    /** Returns how many more serving instances the pool may lose; negative if too many are out. */
    [[nodiscard]] int headroom(std::string_view pool) const;

    /** Returns declared minus serving instances of a pool; negative while it shrinks. */
    [[nodiscard]] int unavailable(std::string_view pool) const;

    /** Takes one serving instance of a pool out of the count. */
    void takeOut(std::string_view pool);

private:
    struct Count
    {
        int declared = 0;
        int serving = 0;
        int budget = 0;
    };
    ByName<Count> m_counts;
};

} // namespace dragonflysill
