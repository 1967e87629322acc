#pragma once

#include "dragonflysill/contracts/configuration.h"
#include "dragonflysill/machines/instancerecord.h"

#include <string_view>

namespace dragonflysill {

/**
 * Compares the serving instances of each pool with its declared size and availability budget. An
 * instance that is taken out of service is subtracted at once, so that all decisions of one pass
 * together stay within the budget.
 */
class PoolCapacity
{
public:
    PoolCapacity(const Configuration &configuration, const ByName<InstanceRecord> &records);

    /** Returns how many more instances may stop serving; negative if the budget is exceeded. */
    [[nodiscard]] int headroom(std::string_view pool) const;

    /** Returns declared minus serving instances; negative while the pool shrinks. */
    [[nodiscard]] int unavailable(std::string_view pool) const;

    /** Counts one more instance of a pool as not serving. */
    void takeOutOfService(std::string_view pool);

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
