#include "routeexplanation.h"

#include "dragonflysill/jobs/teamrates.h"

#include <algorithm>
#include <string>

namespace dragonflysill::internal {

namespace {

/** What a submission would be answered, and why. */
struct Outcome
{
    int status = 200;
    std::string reason;
};

Outcome submissionOutcome(const NodeViewSource &source, const Queue *queue, std::string_view team)
{
    const auto &configuration = source.service.configuration();
    if (!configuration)
        return {503, "this node has read no configuration yet"};
    if (queue == nullptr)
        return {404, "no queue has this host and a prefix of this path"};
    const auto &access = source.service.access();
    if (configuration->usesTeams && !queue->isPublic) {
        if (!access.acceptsKeys(source.now))
            return {503,
                    "this node cannot tell which keys are in force: the store has not answered"};
        if (team.empty())
            return {401, "the queue is not public and needs a key of a team"};
        if (configuration->team(team) == nullptr)
            return {401, "the configuration has no team of this name"};
    }
    if (!source.storeReachable)
        return {503, "the store cannot be reached, so that the job cannot be stored"};
    if (!source.ready)
        return {200, "this node is not ready: the load balancer sends requests to others"};
    return {200, "the job would be stored and accepted"};
}

void explainPool(const NodeViewSource &source, const std::string &pool, Json &json)
{
    const auto &scheduler = source.owner->scheduler();
    int usable = 0;
    std::int64_t free = 0;
    std::int64_t largestFree = 0;
    std::string emptiest;
    for (const auto &[id, worker] : scheduler.workers()) {
        if (worker.description.pool != pool || !worker.usable(source.now))
            continue;
        ++usable;
        free += worker.free().milliCores;
        if (worker.free().milliCores > largestFree) {
            largestFree = worker.free().milliCores;
            emptiest = id;
        }
    }
    const auto loads = scheduler.loads(source.now);
    const auto load = loads.find(pool);
    const auto deferred = scheduler.deferredJobs().find(pool);
    const auto &balancer = source.owner->balancer();
    json["usable_workers"] = usable;
    json["free_cores"] = static_cast<double>(free) / 1000;
    json["largest_free_cores"] = static_cast<double>(largestFree) / 1000;
    json["emptiest_worker"] = emptiest;
    json["waiting_cores"]
            = load == loads.end() ? 0 : static_cast<double>(load->second.waitingMilliCores) / 1000;
    json["deferred_jobs"] = deferred == scheduler.deferredJobs().end() ? 0 : deferred->second;
    json["instances_needed"] = balancer.neededInstances(pool);
    json["instances_present"] = balancer.presentInstances(pool);
    json["place"] = usable == 0 ? "waits: no worker of the pool takes tasks"
                    : free == 0
                            ? "waits: all cores of the pool are reserved"
                            : "starts on workers of the pool with free cores, fuller ones first";
}

void explainTeam(const NodeViewSource &source, std::string_view team, Json &json)
{
    const auto &scheduler = source.owner->scheduler();
    const auto account = scheduler.teamUsage().accounts().find(team);
    if (account == scheduler.teamUsage().accounts().end())
        return;
    const auto &it = account->second;
    json["rate"] = rateClassName(scheduler.teamRates().next(&it, source.now));
    json["team_weight"] = it.weight;
    json["team_priority"] = it.priority;
    json["team_used_cores"] = static_cast<double>(it.used().milliCores) / 1000;
    json["team_ceiling_cores"] = static_cast<double>(it.ceiling.milliCores) / 1000;
    if (!it.hasRoom({1, 1, 0}))
        json["place"] = "waits: the team is at its ceiling";
}

} // namespace

Json explainRoute(const NodeViewSource &source, const RouteQuestion &question)
{
    const auto &configuration = source.service.configuration();
    const auto *queue
            = configuration ? configuration->match(question.host, question.path) : nullptr;
    const auto outcome = submissionOutcome(source, queue, question.team);
    Json json{{"host", question.host},
              {"path", question.path},
              {"team", question.team},
              {"configuration_version", configuration ? configuration->version : 0},
              {"answer", outcome.status},
              {"reason", outcome.reason},
              {"owner", source.replica.owner().node}};
    if (queue == nullptr)
        return json;
    json["queue"] = queue->name;
    json["pool"] = queue->pool;
    json["public"] = queue->isPublic;
    json["priority"] = queue->policy.priority;
    json["attempts"] = queue->policy.attempts;
    if (outcome.status != 200)
        return json;
    if (source.owner == nullptr) {
        json["place"] = "the scheduling node knows: ask the one named as owner";
        return json;
    }
    explainPool(source, queue->pool, json);
    explainTeam(source, question.team, json);
    return json;
}

} // namespace dragonflysill::internal
