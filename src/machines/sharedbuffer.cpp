#include "dragonflysill/machines/sharedbuffer.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace dragonflysill {

namespace internal {

/** Returns the instances that a service needs during its burst. */
int burstInstances(const Service &service, std::chrono::milliseconds serviceTime)
{
    const double seconds = std::chrono::duration<double>(serviceTime).count();
    const double busySlots = service.meanRatePerSecond * service.burstFactor * seconds;
    return static_cast<int>(std::ceil(busySlots / std::max(1, service.slotsPerInstance)));
}

} // namespace internal

SharedBuffer::SharedBuffer(const Configuration &configuration, BufferSettings settings)
    : m_configuration(configuration)
    , m_settings(settings)
{
    for (const auto &it : configuration.pools) {
        if (it.second.spare && m_sparePool.empty())
            m_sparePool = it.first;
    }
    ByName<int> needed;
    for (const auto &it : configuration.services)
        needed[it.second.pool] += internal::burstInstances(it.second, m_settings.meanServiceTime);
    for (const auto &it : needed) {
        const auto pool = configuration.pools.find(it.first);
        if (pool != configuration.pools.end())
            m_burst[it.first]
                    = std::max(0, it.second - static_cast<int>(pool->second.instances.size()));
    }
    addDomains();
}

void SharedBuffer::addDomains()
{
    for (const auto &pool : m_configuration.pools) {
        if (pool.second.spare)
            continue;
        for (const auto &it : pool.second.instances) {
            ++m_domains["zone/" + it.zone].lostByPool[pool.first];
            if (!it.rack.empty())
                ++m_domains["rack/" + it.zone + "/" + it.rack].lostByPool[pool.first];
        }
    }
}

BufferStatus SharedBuffer::status(const ByName<InstanceRecord> &records) const
{
    int worstFailure = 0;
    ByName<int> worstOfPool;
    for (const auto &it : m_domains) {
        worstFailure = std::max(worstFailure, excess(it.second));
        for (const auto &n : it.second.lostByPool) {
            auto &worst = worstOfPool[n.first];
            worst = std::max(worst, poolExcess(n.first, n.second));
        }
    }
    int worstBurst = 0;
    BufferStatus status;
    for (const auto &it : m_burst) {
        worstBurst = std::max(worstBurst, it.second);
        status.baselineInstances += it.second;
    }
    for (const auto &it : worstOfPool)
        status.baselineInstances += it.second;
    status.requiredInstances = worstFailure + worstBurst;
    status.idleInstances = idleInstances(records);
    return status;
}

int SharedBuffer::burstExcess(std::string_view pool) const
{
    const auto it = m_burst.find(pool);
    return it == m_burst.end() ? 0 : it->second;
}

int SharedBuffer::idleInstances(const ByName<InstanceRecord> &records) const
{
    return static_cast<int>(std::count_if(records.begin(), records.end(), [this](const auto &it) {
        return it.second.pool == m_sparePool && it.second.phase == InstancePhase::Serving;
    }));
}

int SharedBuffer::excess(const Domain &domain) const
{
    int sum = 0;
    for (const auto &it : domain.lostByPool)
        sum += poolExcess(it.first, it.second);
    return sum;
}

int SharedBuffer::poolExcess(std::string_view pool, int lost) const
{
    const auto it = m_configuration.pools.find(pool);
    return it == m_configuration.pools.end() ? 0 : std::max(0, lost - it->second.maxUnavailable);
}

namespace internal {

/** Lends and returns spare instances; see assignSpares(). */
class LoanDecision
{
public:
    LoanDecision(const FleetInputs &inputs, std::string_view sparePool,
                 ByName<DeclaredInstance> &declared)
        : m_inputs(inputs)
        , m_sparePool(sparePool)
        , m_declared(declared)
    {
    }

    void apply()
    {
        countNeeds();
        for (auto &it : m_declared)
            keep(it.first, it.second);
        for (auto &it : m_declared)
            lend(it.first, it.second);
    }

private:
    struct Need
    {
        int failed = 0;
        int beyondBudget = 0;
        [[nodiscard]] int wanted() const { return std::min(failed, std::max(0, beyondBudget)); }
    };

    /** Counts only a pool's own instances, so that a loan does not change the need for it. */
    void countNeeds()
    {
        ByName<Need> needs;
        for (const auto &it : m_inputs.configuration.pools)
            needs[it.first].beyondBudget = -it.second.maxUnavailable;
        for (const auto &it : m_declared) {
            Need &need = needs[it.second.pool];
            const auto *record = recordOf(it.first);
            const bool own = record != nullptr && record->pool == it.second.pool;
            if (!own || record->phase != InstancePhase::Serving)
                ++need.beyondBudget;
            if (own && record->phase == InstancePhase::Failed)
                ++need.failed;
        }
        for (const auto &it : needs) {
            if (it.first != m_sparePool && it.second.wanted() > 0)
                m_wanted[it.first] = it.second.wanted();
        }
    }

    [[nodiscard]] const InstanceRecord *recordOf(const std::string &name) const
    {
        const auto it = m_inputs.records.find(name);
        return it == m_inputs.records.end() ? nullptr : &it->second;
    }

    void keep(const std::string &name, DeclaredInstance &declared)
    {
        const auto *record = recordOf(name);
        if (declared.pool != m_sparePool || record == nullptr
            || record->phase == InstancePhase::Failed)
            return;
        const bool leaves = record->phase == InstancePhase::Leaving && !record->targetPool.empty();
        assign(declared, leaves ? record->targetPool : record->pool);
    }

    void lend(const std::string &name, DeclaredInstance &declared)
    {
        const auto *record = recordOf(name);
        if (declared.pool != m_sparePool || record == nullptr || record->pool != m_sparePool
            || record->phase != InstancePhase::Serving || m_wanted.empty())
            return;
        assign(declared, m_wanted.begin()->first);
    }

    void assign(DeclaredInstance &declared, const std::string &pool)
    {
        const auto wanted = m_wanted.find(pool);
        if (wanted == m_wanted.end())
            return;
        declared.pool = pool;
        if (--wanted->second == 0)
            m_wanted.erase(wanted);
    }

    const FleetInputs &m_inputs;
    std::string m_sparePool;
    ByName<DeclaredInstance> &m_declared;
    ByName<int> m_wanted; ///< By pool: spare instances that are still to be assigned.
};

} // namespace internal

void assignSpares(const FleetInputs &inputs, std::string_view sparePool,
                  ByName<DeclaredInstance> &declared)
{
    if (!sparePool.empty())
        internal::LoanDecision(inputs, sparePool, declared).apply();
}

} // namespace dragonflysill
