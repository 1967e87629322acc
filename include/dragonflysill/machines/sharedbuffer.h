#pragma once

#include "dragonflysill/machines/fleetinputs.h"
#include "dragonflysill/machines/fleetstatus.h"

#include <chrono>
#include <string>
#include <string_view>

namespace dragonflysill {

/** Settings for the computation of buffer sizes. */
struct BufferSettings
{
    /** Mean time that a request occupies a slot; the same for all services, which do not declare
     * it. */
    std::chrono::milliseconds meanServiceTime{100};
};

/**
 * Computes the size of the shared buffer in the spare pool. The buffer covers the worst failure of
 * a rack or availability zone plus the largest burst of a single pool, because bursts of different
 * pools do not coincide. Of a failure, only the instances beyond the availability budgets of the
 * affected pools count. The baseline is the sum of separate buffers, each for the worst failure and
 * the burst of one pool.
 */
class SharedBuffer
{
public:
    explicit SharedBuffer(const Configuration &configuration, BufferSettings settings = {});

    /** Returns the required size, the baseline size and the number of idle instances. */
    [[nodiscard]] BufferStatus status(const ByName<InstanceRecord> &records) const;

    /** Returns how many instances more than declared a pool needs during its burst. */
    [[nodiscard]] int burstExcess(std::string_view pool) const;

    /** Returns the name of the spare pool, or an empty string if there is none. */
    [[nodiscard]] std::string_view sparePool() const { return m_sparePool; }

    /** Returns the number of serving instances in the spare pool. */
    [[nodiscard]] int idleInstances(const ByName<InstanceRecord> &records) const;

private:
    /** A rack or an availability zone, whose instances fail together. */
    struct FailureDomain
    {
        ByName<int> lostByPool; ///< Instances by pool.
    };

    [[nodiscard]] int lossBeyondBudgets(const FailureDomain &domain) const;
    [[nodiscard]] int lossBeyondBudget(std::string_view pool, int lost) const;
    void addFailureDomains();

    const Configuration &m_configuration;
    BufferSettings m_settings;
    std::string m_sparePool;
    ByName<FailureDomain> m_failureDomains;
    ByName<int> m_burstExcess;
};

/**
 * Assigns spare instances to pools with failed instances. A pool receives one spare for each failed
 * instance that exceeds its availability budget, and the spare returns to the spare pool when the
 * pool's own instances are within the budget again. All state is in the instance records, so that
 * any control process can continue.
 * @param declared the declared instances; the pool of each assigned spare is replaced in it
 */
void assignSpares(const FleetInputs &inputs, std::string_view sparePool,
                  ByName<DeclaredInstance> &declared);

} // namespace dragonflysill
