#include "dragonflysill/contracts/validation.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace dragonflysill {

namespace internal {

namespace {

template <typename T>
void applyChanges(const std::vector<ObjectChange<T>> &changes, ByName<T> &objects,
                  std::int64_t number)
{
    for (const auto &it : changes) {
        if (it.name.empty())
            continue;
        if (!it.state) {
            objects.erase(it.name);
            continue;
        }
        T object = *it.state;
        object.ticket = number;
        objects.insert_or_assign(it.name, std::move(object));
    }
}

template <typename T>
const ObjectChange<T> *changeOf(const std::vector<ObjectChange<T>> &changes, std::string_view name)
{
    for (const auto &it : changes) {
        if (it.name == name)
            return &it;
    }
    return nullptr;
}

/** Formats a number without trailing zeros. */
std::string formatNumber(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

std::string inQuotes(std::string_view text)
{
    return "'" + std::string(text) + "'";
}

/** Checks one ticket by the configuration that would result from it. */
class Validator
{
public:
    Validator(const Ticket &ticket, const Configuration &current)
        : m_ticket(ticket)
        , m_current(current)
        , m_next(applyTicket(ticket, current, current.ticket + 1))
    {
    }

    Problems check()
    {
        checkDeletions();
        checkInstances();
        checkBudgets();
        checkBuffer();
        checkServices();
        checkRoutes();
        checkJobs();
        checkMaintenance();
        return std::move(m_problems);
    }

private:
    void report(std::string pointer, std::string message, std::string remedy)
    {
        m_problems.push_back({std::move(pointer), std::move(message), std::move(remedy)});
    }

    /**
     * Returns the JSON pointer at which a problem of object @p name is reported, or nothing if the
     * ticket does not contain the object or contains it in malformed form.
     */
    template <typename T>
    std::optional<std::string> pointerTo(const std::vector<ObjectChange<T>> &changes,
                                         std::string_view name, std::string_view field) const
    {
        const auto *change = changeOf(changes, name);
        if (change == nullptr || change->malformed)
            return std::nullopt;
        if (!change->state)
            return change->pointer;
        return change->pointer + "/" + std::string(field);
    }

    /** Returns false if the ticket contains the object in malformed form. */
    template <typename T>
    static bool isWellFormed(const std::vector<ObjectChange<T>> &changes, std::string_view name)
    {
        const auto *change = changeOf(changes, name);
        return change == nullptr || !change->malformed;
    }

    template <typename T>
    void checkDeletionsOf(const std::vector<ObjectChange<T>> &changes, const ByName<T> &current,
                          std::string_view kind)
    {
        for (const auto &it : changes) {
            if (!it.state && !it.malformed && current.count(it.name) == 0)
                report(it.pointer, std::string(kind) + " " + inQuotes(it.name) + " does not exist",
                       "remove the element");
        }
    }

    void checkDeletions()
    {
        checkDeletionsOf(m_ticket.pools, m_current.pools, "pool");
        checkDeletionsOf(m_ticket.services, m_current.services, "service");
        checkDeletionsOf(m_ticket.jobs, m_current.jobs, "job");
        checkDeletionsOf(m_ticket.quotas, m_current.quotas, "quota");
        checkDeletionsOf(m_ticket.maintenance, m_current.maintenance, "maintenance order");
    }

    /**
     * Reports a reference to an object that does not exist: at the referring element if the ticket
     * contains it, otherwise at the deletion of the object.
     */
    template <typename User, typename Target>
    void checkReference(const std::vector<ObjectChange<User>> &users, const std::string &userName,
                        const std::string &userKind, std::string_view field,
                        const std::vector<ObjectChange<Target>> &targets,
                        const ByName<Target> &existing, const std::string &targetName,
                        const std::string &targetKind)
    {
        if (targetName.empty() || existing.count(targetName) != 0)
            return;
        const auto *change = changeOf(targets, targetName);
        if (const auto *user = changeOf(users, userName); user != nullptr) {
            if (!user->malformed)
                report(user->pointer + "/" + std::string(field),
                       "there is no " + targetKind + " " + inQuotes(targetName),
                       change != nullptr
                               ? "do not delete it in the same ticket, or refer to another one"
                               : "add the " + targetKind + " to the ticket or correct the name");
        } else if (change != nullptr) {
            report(change->pointer,
                   targetKind + " " + inQuotes(targetName) + " is still used by " + userKind + " "
                           + inQuotes(userName),
                   "delete or change the " + userKind + " in the same ticket");
        }
    }

    struct ElementPosition
    {
        std::string object; ///< Name of the pool or service that contains the element.
        std::size_t index;
    };

    /** Reports a name or an address that another element already uses. */
    void checkUnique(std::map<std::string, ElementPosition> &seen, const std::string &value,
                     const ElementPosition &position, const std::string &field,
                     const std::string &what)
    {
        const auto [known, isNew] = seen.try_emplace(value, position);
        if (isNew || value.empty())
            return;
        const ElementPosition *at = &position;
        const ElementPosition *other = &known->second;
        const auto *change = changeOf(m_ticket.pools, at->object);
        if (change == nullptr) {
            std::swap(at, other);
            change = changeOf(m_ticket.pools, at->object);
        }
        if (change == nullptr)
            return;
        const bool samePool = at->object == other->object;
        report(change->pointer + "/instances/" + std::to_string(at->index) + "/" + field,
               what + " " + inQuotes(value) + " is already in pool " + inQuotes(other->object),
               samePool ? "keep one of the two elements"
                        : "remove it from pool " + inQuotes(other->object)
                                  + " in the same ticket, or choose another " + what);
    }

    void checkInstances()
    {
        std::map<std::string, ElementPosition> names;
        std::map<std::string, ElementPosition> addresses;
        for (const auto &[name, pool] : m_next.pools) {
            for (std::size_t n = 0; n < pool.instances.size(); ++n) {
                checkUnique(names, pool.instances[n].name, {name, n}, "name", "instance");
                checkUnique(addresses, pool.instances[n].address, {name, n}, "address", "address");
            }
        }
    }

    void checkBudgets()
    {
        for (const auto &it : m_ticket.pools) {
            if (!it.state || it.malformed)
                continue;
            const auto count = it.state->instances.size();
            if (count != 0 && static_cast<std::size_t>(it.state->maxUnavailable) >= count)
                report(it.pointer + "/max_unavailable",
                       "the availability budget of " + std::to_string(it.state->maxUnavailable)
                               + " allows all " + std::to_string(count)
                               + " instances to be unavailable",
                       "use at most " + std::to_string(count - 1) + ", or add instances");
        }
    }

    /** Returns the largest number of instances that a pool has in one rack. */
    static std::size_t maxInstancesPerRack(const Pool &pool)
    {
        std::map<std::string, std::size_t> perRack;
        std::size_t largest = 0;
        for (const auto &it : pool.instances) {
            if (!it.rack.empty())
                largest = std::max(largest, ++perRack[it.zone + "/" + it.rack]);
        }
        return largest;
    }

    /**
     * Checks the minimum size of the shared buffer: without the unavailable instances that the
     * budgets of the spare pools allow, it must replace the largest number of instances that any
     * other pool has in one rack.
     */
    void checkBuffer()
    {
        std::size_t buffer = 0;
        const Pool *spare = nullptr;
        const Pool *largest = nullptr;
        for (const auto &it : m_next.pools) {
            const Pool &pool = it.second;
            if (!isWellFormed(m_ticket.pools, it.first))
                return;
            if (pool.spare) {
                spare = &pool;
                buffer += pool.instances.size()
                          - std::min(pool.instances.size(),
                                     static_cast<std::size_t>(std::max(pool.maxUnavailable, 0)));
            } else if (largest == nullptr
                       || maxInstancesPerRack(pool) > maxInstancesPerRack(*largest)) {
                largest = &pool;
            }
        }
        if (spare == nullptr || largest == nullptr || maxInstancesPerRack(*largest) <= buffer)
            return;
        const std::string message
                = "the shared buffer of " + std::to_string(buffer)
                  + " instances (spare instances less max_unavailable) is smaller than the "
                  + std::to_string(maxInstancesPerRack(*largest)) + " instances of pool "
                  + inQuotes(largest->name) + " in one rack";
        const std::string remedy = "add instances to the spare pool, lower its max_unavailable, or "
                                   "spread the pool over more racks";
        auto pointer = pointerTo(m_ticket.pools, spare->name, "instances");
        if (!pointer)
            pointer = pointerTo(m_ticket.pools, largest->name, "instances");
        if (pointer)
            report(*pointer, message, remedy);
    }

    void checkServices()
    {
        for (const auto &[name, service] : m_next.services) {
            checkReference(m_ticket.services, name, "service", "pool", m_ticket.pools, m_next.pools,
                           service.pool, "pool");
            const auto pool = m_next.pools.find(service.pool);
            if (pool != m_next.pools.end() && pool->second.instances.empty()
                && isWellFormed(m_ticket.pools, service.pool))
                reportEmptyPool(name, pool->second);
        }
        for (const auto &it : m_ticket.services) {
            if (it.state && !it.malformed
                && it.state->connectionsPerInstance < it.state->slotsPerInstance)
                report(it.pointer + "/connections_per_instance",
                       "fewer connections than slots: each request needs its own connection",
                       "use at least " + std::to_string(it.state->slotsPerInstance));
        }
    }

    void reportEmptyPool(const std::string &service, const Pool &pool)
    {
        auto pointer = pointerTo(m_ticket.pools, pool.name, "instances");
        if (!pointer)
            pointer = pointerTo(m_ticket.services, service, "pool");
        if (pointer)
            report(*pointer,
                   "pool " + inQuotes(pool.name) + " of service " + inQuotes(service)
                           + " has no instances",
                   "keep at least one instance in the pool or choose another pool");
    }

    void checkRoutes()
    {
        std::map<std::string, ElementPosition> seen;
        for (const auto &[name, service] : m_next.services) {
            for (std::size_t n = 0; n < service.routes.size(); ++n)
                checkRoute(seen, service.routes[n].pathPrefix, {name, n});
        }
    }

    void checkRoute(std::map<std::string, ElementPosition> &seen, const std::string &prefix,
                    const ElementPosition &position)
    {
        const auto [known, isNew] = seen.try_emplace(prefix, position);
        if (isNew || prefix.empty())
            return;
        const ElementPosition *at = &position;
        const ElementPosition *other = &known->second;
        if (changeOf(m_ticket.services, at->object) == nullptr)
            std::swap(at, other);
        const auto *change = changeOf(m_ticket.services, at->object);
        if (change == nullptr)
            return;
        report(change->pointer + "/routes/" + std::to_string(at->index) + "/path_prefix",
               "path prefix " + inQuotes(prefix) + " already belongs to service "
                       + inQuotes(other->object),
               "choose another prefix or remove the other route");
    }

    void checkJobs()
    {
        for (const auto &[name, job] : m_next.jobs) {
            checkReference(m_ticket.jobs, name, "job", "team", m_ticket.quotas, m_next.quotas,
                           job.team, "quota");
            checkReference(m_ticket.jobs, name, "job", "pool", m_ticket.pools, m_next.pools,
                           job.pool, "pool");
            const auto quota = m_next.quotas.find(job.team);
            if (quota != m_next.quotas.end() && !job.cancelled
                && isWellFormed(m_ticket.quotas, job.team) && isWellFormed(m_ticket.jobs, name))
                checkQuota(name, job, quota->second);
        }
    }

    /** Checks that the quota allows what must run at once: one task, or all tasks of a gang. */
    void checkQuota(const std::string &name, const Job &job, const Quota &quota)
    {
        const auto count = job.gang ? job.tasks : 1;
        const auto exceeds = [&](const std::string &field, double needed, double allowed) {
            if (needed <= allowed)
                return;
            auto pointer = pointerTo(m_ticket.jobs, name, field);
            if (!pointer)
                pointer = pointerTo(m_ticket.quotas, quota.team, field);
            if (!pointer)
                return;
            report(*pointer,
                   "job " + inQuotes(name) + " needs " + formatNumber(needed) + " " + field
                           + (job.gang ? " for its gang" : " for one task")
                           + " at once, the quota of team " + inQuotes(quota.team) + " is "
                           + formatNumber(allowed),
                   "raise the quota, or lower what the job needs");
        };
        exceeds("cores", job.cores * count, quota.cores);
        exceeds("memory_mb", static_cast<double>(job.memoryMb) * count,
                static_cast<double>(quota.memoryMb));
        exceeds("accelerators", static_cast<double>(job.accelerators) * count, quota.accelerators);
    }

    void checkMaintenance()
    {
        for (const auto &[name, order] : m_next.maintenance) {
            std::set<std::string> names;
            for (std::size_t n = 0; n < order.pools.size(); ++n) {
                const std::string field = "pools/" + std::to_string(n);
                checkReference(m_ticket.maintenance, name, "maintenance order", field,
                               m_ticket.pools, m_next.pools, order.pools[n], "pool");
                if (order.state == MaintenanceState::Running)
                    checkBudgetAllowsMaintenance(name, field, order.pools[n]);
                const auto pointer = pointerTo(m_ticket.maintenance, name, field);
                if (!names.insert(order.pools[n]).second && pointer)
                    report(*pointer, "pool " + inQuotes(order.pools[n]) + " occurs twice",
                           "keep one of the two elements");
            }
            const auto pointer = pointerTo(m_ticket.maintenance, name, "pools");
            if (order.pools.empty() && pointer)
                report(*pointer, "the order contains no pool", "name at least one pool");
        }
    }

    void checkBudgetAllowsMaintenance(const std::string &order, const std::string &field,
                                      const std::string &poolName)
    {
        const auto pool = m_next.pools.find(poolName);
        if (pool == m_next.pools.end() || pool->second.maxUnavailable > 0
            || !isWellFormed(m_ticket.pools, poolName))
            return;
        auto pointer = pointerTo(m_ticket.maintenance, order, field);
        if (!pointer)
            pointer = pointerTo(m_ticket.pools, poolName, "max_unavailable");
        if (pointer)
            report(*pointer,
                   "maintenance order " + inQuotes(order) + " cannot run: the budget of pool "
                           + inQuotes(poolName) + " allows no unavailable instance",
                   "set max_unavailable of the pool to at least 1, or pause the order");
    }

    const Ticket &m_ticket;
    const Configuration &m_current;
    const Configuration m_next;
    Problems m_problems;
};

} // namespace

} // namespace internal

void to_json(nlohmann::json &json, const TicketConflict &value)
{
    json = {{"pointer", value.pointer}, {"kind", value.kind},          {"name", value.name},
            {"ticket", value.ticket},   {"ticket_id", value.ticketId}, {"author", value.author}};
}

Configuration applyTicket(const Ticket &ticket, const Configuration &current, std::int64_t number)
{
    Configuration next = current;
    next.ticket = number;
    next.ticketId = ticket.id;
    internal::applyChanges(ticket.pools, next.pools, number);
    internal::applyChanges(ticket.services, next.services, number);
    internal::applyChanges(ticket.jobs, next.jobs, number);
    internal::applyChanges(ticket.quotas, next.quotas, number);
    internal::applyChanges(ticket.maintenance, next.maintenance, number);
    return next;
}

Problems validateTicket(const Ticket &ticket, const Configuration &current)
{
    return internal::Validator(ticket, current).check();
}

std::vector<TicketConflict> findConflicts(const Ticket &ticket, const Configuration &current)
{
    std::vector<TicketConflict> conflicts;
    const auto check = [&](const auto &changes, const auto &objects, const char *kind) {
        for (const auto &it : changes) {
            const auto found = objects.find(it.name);
            if (found != objects.end() && found->second.ticket > ticket.base)
                conflicts.push_back({it.pointer, kind, it.name, found->second.ticket, {}, {}});
        }
    };
    check(ticket.pools, current.pools, "pool");
    check(ticket.services, current.services, "service");
    check(ticket.jobs, current.jobs, "job");
    check(ticket.quotas, current.quotas, "quota");
    check(ticket.maintenance, current.maintenance, "maintenance");
    return conflicts;
}

} // namespace dragonflysill
