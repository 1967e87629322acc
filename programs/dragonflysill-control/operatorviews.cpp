#include "operatorviews.h"

#include "dragonflysill/contracts/codec.h"

#include <algorithm>

namespace dragonflysill {

namespace internal {

namespace {

/** The pool in which an instance is declared. */
struct Declaration
{
    std::string pool;
    std::int64_t ticket = 0;
    bool spare = false;
};

std::optional<Declaration> findDeclaration(const Configuration &configuration,
                                           const std::string &instance)
{
    for (const auto &[name, pool] : configuration.pools) {
        for (const auto &it : pool.instances) {
            if (it.name == instance)
                return Declaration{name, pool.ticket, pool.spare};
        }
    }
    return std::nullopt;
}

ByName<Declaration> declarationsByInstance(const Configuration &configuration)
{
    ByName<Declaration> result;
    for (const auto &[name, pool] : configuration.pools) {
        for (const auto &it : pool.instances)
            result.insert_or_assign(it.name, Declaration{name, pool.ticket, pool.spare});
    }
    return result;
}

nlohmann::json recordJson(const InstanceRecord &record)
{
    return {{"name", record.name},       {"address", record.address},
            {"zone", record.zone},       {"rack", record.rack},
            {"pool", record.pool},       {"phase", toText(record.phase)},
            {"epoch", record.epoch},     {"target_pool", record.targetPool},
            {"since_ms", record.sinceMs}};
}

const MemberReport *findReport(std::span<const MemberReport> reports, const std::string &name)
{
    const auto it = std::find_if(reports.begin(), reports.end(),
                                 [&](const MemberReport &report) { return report.name == name; });
    return it == reports.end() ? nullptr : &*it;
}

const MoveStatus *findMove(const FleetStatus &fleet, const std::string &instance)
{
    const auto it = std::find_if(fleet.moves.begin(), fleet.moves.end(),
                                 [&](const MoveStatus &move) { return move.instance == instance; });
    return it == fleet.moves.end() ? nullptr : &*it;
}

bool hasDrained(const MemberReport &report, const InstanceRecord &record)
{
    return std::any_of(report.drained.begin(), report.drained.end(),
                       [&](const DrainedInstance &it) {
                           return it.name == record.name && it.epoch == record.epoch;
                       });
}

/**
 * Returns the entries that may still send requests to a leaving instance, each with the reason and
 * the remedy.
 */
nlohmann::json missingAcknowledgements(const OperatorState &state, const InstanceRecord &record)
{
    auto missing = nlohmann::json::array();
    for (const auto &it : state.view->entries) {
        const auto &name = it.first;
        const MemberReport *report = findReport(state.reports, name);
        if (report != nullptr && hasDrained(*report, record))
            continue;
        const bool alive = report != nullptr && report->alive;
        missing.push_back(
                {{"entry", name},
                 {"alive", alive},
                 {"reason", alive ? "it has requests in flight on the instance or has not applied "
                                    "the newest view"
                                  : "it cannot be reached, so it may still send requests"},
                 {"remedy",
                  alive ? "wait until the requests have ended; their deadlines bound the time"
                        : "restore the connection to " + name
                                  + ", or terminate that entry instance at the platform"}});
    }
    return missing;
}

/** Returns true if a spare instance belongs to another pool, where it replaces a failed one. */
bool isAssignedSpare(const OperatorState &state, const Declaration &declared,
                     const InstanceRecord &record)
{
    return declared.spare && record.pool != declared.pool && record.targetPool.empty()
           && findMove(state.fleet, record.name) == nullptr;
}

std::string explainInstanceState(const OperatorState &state,
                                 const std::optional<Declaration> &declared,
                                 const InstanceRecord *record)
{
    if (!declared && record == nullptr)
        return "no ticket declares it and it has no record";
    if (record == nullptr)
        return "ticket " + std::to_string(declared->ticket) + " declares it in pool "
               + declared->pool + ", which has not taken it in yet";
    const std::string phase(toText(record->phase));
    if (!declared)
        return "no ticket declares it any more; its record is in pool " + record->pool + " ("
               + phase + ")";
    const std::string origin = "ticket " + std::to_string(declared->ticket);
    if (isAssignedSpare(state, *declared, *record))
        return origin + " declares it in the spare pool " + declared->pool + "; it is lent to pool "
               + record->pool + " for a failed instance, where it is " + phase;
    if (record->pool != declared->pool)
        return origin + " moves it from pool " + record->pool + " to pool " + declared->pool
               + "; it is " + phase;
    return origin + " declares it in pool " + record->pool + ", where it is " + phase;
}

std::string instanceRemedy(const std::optional<Declaration> &declared, const InstanceRecord *record)
{
    if (record == nullptr)
        return declared ? "check with 'status' that a control process runs the pool" : "";
    if (record->phase == InstancePhase::Failed)
        return "replace the instance at the platform, or remove it from the pool with a ticket";
    if (!declared)
        return "declare it in a pool with a ticket if it is to be used again";
    return "";
}

void addMove(nlohmann::json &document, const MoveStatus *move)
{
    if (move == nullptr)
        return;
    document["move"] = {{"from_pool", move->fromPool}, {"to_pool", move->toPool},
                        {"ticket", move->ticket},      {"waiting_for", move->waitingFor},
                        {"reason", move->reason},      {"remedy", move->remedy}};
    if (!move->remedy.empty())
        document["remedy"] = move->remedy;
}

nlohmann::json phaseCounts(const View &view, const std::string &pool)
{
    nlohmann::json counts
            = {{"serving", 0}, {"leaving", 0}, {"warming", 0}, {"maintenance", 0}, {"failed", 0}};
    for (const auto &it : view.instances) {
        if (it.second.pool != pool)
            continue;
        auto &count = counts[std::string(toText(it.second.phase))];
        count = count.get<int>() + 1;
    }
    return counts;
}

/** Returns how many instances of a pool count as unavailable against its availability budget. */
int unavailableCount(const nlohmann::json &phases)
{
    return phases["leaving"].get<int>() + phases["maintenance"].get<int>()
           + phases["failed"].get<int>();
}

nlohmann::json poolJson(const View &view, const Pool &pool)
{
    auto phases = phaseCounts(view, pool.name);
    const int unavailable = unavailableCount(phases);
    auto services = nlohmann::json::array();
    for (const auto &it : view.configuration.services) {
        if (it.second.pool == pool.name)
            services.push_back(it.first);
    }
    return {{"name", pool.name},
            {"ticket", pool.ticket},
            {"spare", pool.spare},
            {"declared", pool.instances.size()},
            {"max_unavailable", pool.maxUnavailable},
            {"unavailable", unavailable},
            {"phases", std::move(phases)},
            {"services", std::move(services)}};
}

nlohmann::json memberJson(const Member &member, std::span<const MemberReport> reports)
{
    const MemberReport *report = findReport(reports, member.name);
    nlohmann::json json = {{"name", member.name},
                           {"region", member.region},
                           {"zone", member.zone},
                           {"operator_address", member.operatorAddress},
                           {"entry_address", member.entryAddress},
                           {"admin_address", member.adminAddress},
                           {"incarnation", member.incarnation},
                           {"alive", nullptr},
                           {"applied_revision", nullptr},
                           {"ticket", nullptr}};
    if (report == nullptr)
        return json;
    json["alive"] = report->alive;
    json["applied_revision"] = report->appliedRevision;
    json["ticket"] = report->ticketNumber;
    return json;
}

const JobStatus *findJobStatus(const FleetStatus &fleet, const std::string &name)
{
    const auto it = std::find_if(fleet.jobs.begin(), fleet.jobs.end(),
                                 [&](const JobStatus &job) { return job.name == name; });
    return it == fleet.jobs.end() ? nullptr : &*it;
}

nlohmann::json quotaUsage(const OperatorState &state, const Quota &quota)
{
    double cores = 0;
    std::int64_t memoryMb = 0;
    int accelerators = 0;
    for (const auto &[name, job] : state.view->configuration.jobs) {
        const JobStatus *status = findJobStatus(state.fleet, name);
        if (job.team != quota.team || status == nullptr)
            continue;
        const int running = std::max(status->placed - status->finished, 0);
        cores += job.cores * running;
        memoryMb += job.memoryMb * running;
        accelerators += job.accelerators * running;
    }
    return {{"team", quota.team},
            {"ticket", quota.ticket},
            {"cores", quota.cores},
            {"memory_mb", quota.memoryMb},
            {"accelerators", quota.accelerators},
            {"used_cores", cores},
            {"used_memory_mb", memoryMb},
            {"used_accelerators", accelerators}};
}

} // namespace

} // namespace internal

using namespace internal;

nlohmann::json poolsDocument(const View &view)
{
    auto pools = nlohmann::json::array();
    for (const auto &it : view.configuration.pools)
        pools.push_back(poolJson(view, it.second));
    return {{"revision", view.revision}, {"pools", std::move(pools)}};
}

nlohmann::json instancesDocument(const View &view)
{
    const auto declared = declarationsByInstance(view.configuration);
    auto instances = nlohmann::json::array();
    for (const auto &[name, record] : view.instances) {
        auto json = recordJson(record);
        const auto it = declared.find(name);
        json["declared_pool"] = it == declared.end() ? "" : it->second.pool;
        json["ticket"] = it == declared.end() ? 0 : it->second.ticket;
        instances.push_back(std::move(json));
    }
    for (const auto &[name, declaration] : declared) {
        if (view.instances.count(name) == 0)
            instances.push_back({{"name", name},
                                 {"pool", ""},
                                 {"phase", "unknown"},
                                 {"declared_pool", declaration.pool},
                                 {"ticket", declaration.ticket}});
    }
    return {{"revision", view.revision}, {"instances", std::move(instances)}};
}

nlohmann::json membersDocument(const View &view, std::span<const MemberReport> reports)
{
    auto members = nlohmann::json::array();
    for (const auto &it : view.members)
        members.push_back(memberJson(it.second, reports));
    auto entries = nlohmann::json::array();
    for (const auto &it : view.entries)
        entries.push_back(memberJson(it.second, reports));
    return {{"members", std::move(members)}, {"entries", std::move(entries)}};
}

std::optional<nlohmann::json> explainInstance(const OperatorState &state, const std::string &name)
{
    const auto declared = findDeclaration(state.view->configuration, name);
    const auto found = state.view->instances.find(name);
    const InstanceRecord *record = found == state.view->instances.end() ? nullptr : &found->second;
    if (!declared && record == nullptr)
        return std::nullopt;
    nlohmann::json document = {{"kind", "instance"},
                               {"name", name},
                               {"why", explainInstanceState(state, declared, record)},
                               {"remedy", instanceRemedy(declared, record)},
                               {"unreachable", state.unreachable}};
    if (declared) {
        document["declared_pool"] = declared->pool;
        document["ticket"] = declared->ticket;
    }
    if (record != nullptr)
        document["record"] = recordJson(*record);
    if (record != nullptr && record->phase == InstancePhase::Leaving) {
        document["not_acknowledged"] = missingAcknowledgements(state, *record);
        if (!document["not_acknowledged"].empty())
            document["remedy"] = document["not_acknowledged"][0]["remedy"];
    }
    addMove(document, findMove(state.fleet, name));
    return document;
}

std::optional<nlohmann::json> explainPool(const OperatorState &state, const std::string &name)
{
    const View &view = *state.view;
    const auto found = view.configuration.pools.find(name);
    if (found == view.configuration.pools.end())
        return std::nullopt;
    const Pool &pool = found->second;
    nlohmann::json document = poolJson(view, pool);
    document["kind"] = "pool";
    document["unreachable"] = state.unreachable;
    const int unavailable = document["unavailable"].get<int>();
    document["why"] = "ticket " + std::to_string(pool.ticket) + " declares "
                      + std::to_string(pool.instances.size()) + " instances; "
                      + std::to_string(unavailable) + " of at most "
                      + std::to_string(pool.maxUnavailable) + " are unavailable";
    document["remedy"] = "";
    if (unavailable >= pool.maxUnavailable && unavailable > 0)
        document["remedy"] = "planned work on this pool waits until an instance is available "
                             "again; replace failed instances first";
    auto moves = nlohmann::json::array();
    for (const auto &it : state.fleet.moves) {
        if (it.fromPool == name || it.toPool == name)
            moves.push_back({{"instance", it.instance},
                             {"from_pool", it.fromPool},
                             {"to_pool", it.toPool},
                             {"ticket", it.ticket},
                             {"reason", it.reason},
                             {"remedy", it.remedy}});
    }
    document["moves"] = std::move(moves);
    auto orders = nlohmann::json::array();
    for (const auto &[order, maintenance] : view.configuration.maintenance) {
        const auto &pools = maintenance.pools;
        if (std::find(pools.begin(), pools.end(), name) == pools.end())
            continue;
        orders.push_back({{"name", order},
                          {"ticket", maintenance.ticket},
                          {"state", toText(maintenance.state)}});
    }
    document["maintenance"] = std::move(orders);
    return document;
}

std::optional<nlohmann::json> explainJob(const OperatorState &state, const std::string &name)
{
    const Configuration &configuration = state.view->configuration;
    const auto found = configuration.jobs.find(name);
    if (found == configuration.jobs.end())
        return std::nullopt;
    const Job &job = found->second;
    nlohmann::json document = {{"kind", "job"},
                               {"name", name},
                               {"team", job.team},
                               {"ticket", job.ticket},
                               {"priority", toText(job.priority)},
                               {"remedy", ""},
                               {"unreachable", state.unreachable}};
    const std::string origin = "ticket " + std::to_string(job.ticket) + " declares "
                               + std::to_string(job.tasks) + " tasks; ";
    const JobStatus *status = findJobStatus(state.fleet, name);
    if (status == nullptr) {
        document["why"] = origin + "no control process reports its placement";
        document["remedy"] = "check with 'status' that every control process is reachable";
    } else {
        document["state"] = toText(status->state);
        document["placed"] = status->placed;
        document["finished"] = status->finished;
        document["why"] = origin + std::to_string(status->placed) + " have a worker, "
                          + std::to_string(status->finished) + " have ended"
                          + (status->reason.empty() ? "" : "; " + status->reason);
        document["remedy"] = status->remedy;
    }
    const auto quota = configuration.quotas.find(job.team);
    if (quota != configuration.quotas.end())
        document["quota"] = quotaUsage(state, quota->second);
    return document;
}

} // namespace dragonflysill
