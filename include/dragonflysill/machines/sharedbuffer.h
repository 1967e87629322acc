#pragma once

#include "dragonflysill/machines/fleetinputs.h"
#include "dragonflysill/machines/fleetstatus.h"

#include <chrono>
#include <string>
#include <string_view>

namespace dragonflysill {

/** What the sizes of buffers are computed from. */
struct BufferSettings
{
    /** Mean time that a request occupies a slot; services do not declare it. */
    std::chrono::milliseconds meanServiceTime{100};
};

/**
 * The shared buffer in the spare pool. It is sized for the worst correlated failure plus the burst
 * of one pool at a time, because bursts come one after another. A failure counts only as far as it
 * exceeds the availability budgets of the pools that it hits. The baseline is the sum of a separate
 * buffer for each pool, each for its own worst failure and its own burst.
 */
class SharedBuffer
{
public:
    explicit SharedBuffer(const Configuration &configuration, BufferSettings settings = {});

    /** Returns required and baseline sizes with the instances that are idle now. */
    [[nodiscard]] BufferStatus status(const ByName<InstanceRecord> &records) const;

    /** Returns the instances that a pool's burst needs beyond its declared ones. */
    [[nodiscard]] int burstExcess(std::string_view pool) const;

    /** Returns the name of the spare pool, or nothing if there is none. */
    [[nodiscard]] std::string_view sparePool() const { return m_sparePool; }

    /** Returns the serving instances in the spare pool. */
    [[nodiscard]] int idleInstances(const ByName<InstanceRecord> &records) const;

private:
    struct Domain
    {
        ByName<int> lostByPool; ///< Instances of each pool in this rack or availability zone.
    };

    [[nodiscard]] int excess(const Domain &domain) const;
    [[nodiscard]] int poolExcess(std::string_view pool, int lost) const;
    void addDomains();

    const Configuration &m_configuration;
    BufferSettings m_settings;
    std::string m_sparePool;
    ByName<Domain> m_domains;
    ByName<int> m_burst;
};

/**
 * Decides which spare instances replace failed instances of other pools. A pool borrows one for
 * each failed instance by which it exceeds its availability budget, and returns it when the pool's
 * own instances are within the budget again. The instance records hold all state, so that any
 * control process continues it.
 * @param declared the declared instances; the pool of a lent instance is replaced in it
 */
void assignSpares(const FleetInputs &inputs, std::string_view sparePool,
                  ByName<DeclaredInstance> &declared);

} // namespace dragonflysill
