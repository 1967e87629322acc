#include "dragonflysill/node/nodeviews.h"

#include "dragonflysill/jobs/jobcodec.h"
#include "dragonflysill/jobs/json.h"
#include "dragonflysill/node/teamlog.h"
#include "routeexplanation.h"

#include <string_view>
#include <utility>

namespace dragonflysill {

namespace internal {

/** Maximum number of jobs in one response. */
constexpr std::size_t maxJobs = 1000;

HttpResponse jsonResponse(const Json &json, int status = 200)
{
    return {status, dump(json), {{"Content-Type", "application/json"}}};
}

HttpResponse errorResponse(int status, ErrorKind kind, const std::string &detail)
{
    const Error error(kind, detail);
    return jsonResponse({{"error", {{"kind", errorName(error.code)}, {"message", error.text()}}}},
                        status);
}

HttpResponse notOwnerResponse(const NodeViewSource &source)
{
    const auto &owner = source.replica.owner();
    return errorResponse(409, ErrorKind::LeaseLost,
                         owner.revision == 0
                                 ? "no node owns the schedule"
                                 : "node " + owner.node
                                           + " owns the schedule; send the request to it");
}

std::string_view phaseName(TaskRun::Phase phase)
{
    switch (phase) {
    case TaskRun::Phase::Starting:
        return "starting";
    case TaskRun::Phase::Unconfirmed:
        return "unconfirmed";
    case TaskRun::Phase::Running:
        return "running";
    case TaskRun::Phase::Stopping:
        return "stopping";
    }
    return "unknown";
}

/** Returns the state of a worker for operators: "up", or why it gets no tasks. */
std::string_view workerState(const WorkerState &worker, TimePoint now)
{
    if (worker.retired)
        return "gone";
    if (!worker.reachable)
        return "unreachable";
    if (worker.description.draining)
        return "draining";
    if (worker.leaving)
        return "leaving";
    if (worker.health.quarantined(now))
        return "quarantined";
    return worker.listed ? "up" : "unlisted";
}

HttpResponse status(const NodeViewSource &source)
{
    const auto &configuration = source.service.configuration();
    const auto &counts = source.service.counts();
    return jsonResponse({{"node", source.node},
                         {"zone", source.zone},
                         {"ready", source.ready},
                         {"store_reachable", source.storeReachable},
                         {"state_revision", source.replica.asOf()},
                         {"configuration_version", configuration ? configuration->version : 0},
                         {"owner", source.replica.owner().node},
                         {"owner_fence", source.replica.owner().revision},
                         {"owns_schedule", source.owner != nullptr},
                         {"follows_jobs", source.replica.followsJobs()},
                         {"jobs_known", source.replica.jobs().size()},
                         {"jobs_accepted", counts.accepted},
                         {"jobs_rejected", counts.rejected},
                         {"jobs_unknown", counts.unknown}});
}

HttpResponse jobs(const NodeViewSource &source)
{
    if (!source.replica.followsJobs())
        return notOwnerResponse(source);
    Json rows = Json::array();
    bool more = false;
    for (const auto &[id, job] : source.replica.jobs()) {
        const auto state = source.replica.status(id);
        if (!state || isFinal(*state))
            continue;
        more = rows.size() == maxJobs;
        if (more)
            break;
        rows.push_back({{"job", id},
                        {"queue", job.queue},
                        {"state", statusName(*state)},
                        {"accepted_revision", job.acceptedRevision}});
    }
    return jsonResponse({{"jobs", std::move(rows)}, {"more", more}});
}

HttpResponse pools(const NodeViewSource &source)
{
    if (source.owner == nullptr || !source.service.configuration())
        return notOwnerResponse(source);
    const auto &scheduler = source.owner->scheduler();
    const auto &balancer = source.owner->balancer();
    std::map<std::string, int> workers;
    std::map<std::string, std::size_t> runs;
    for (const auto &[id, worker] : scheduler.workers()) {
        if (worker.retired || !worker.listed)
            continue;
        ++workers[worker.description.pool];
        runs[worker.description.pool] += worker.runs.size();
    }
    Json rows = Json::array();
    auto loads = scheduler.loads(EventLoop::now());
    for (const auto &it : source.service.configuration()->pools) {
        const auto &load = loads[it.name];
        rows.push_back({{"pool", it.name},
                        {"standby", it.standby},
                        {"workers", workers[it.name]},
                        {"needed", balancer.neededInstances(it.name)},
                        {"present", balancer.presentInstances(it.name)},
                        {"runs", runs[it.name]},
                        {"running_cores", static_cast<double>(load.runningMilliCores) / 1000},
                        {"waiting_cores", static_cast<double>(load.waitingMilliCores) / 1000}});
    }
    const auto &counts = source.owner->fleetCounts();
    return jsonResponse({{"pools", std::move(rows)},
                         {"moves", counts.moves},
                         {"orders_refused", counts.ordersRefused},
                         {"orders_unanswered", counts.ordersUnanswered}});
}

HttpResponse delegates(const NodeViewSource &source)
{
    if (source.owner == nullptr)
        return notOwnerResponse(source);
    const auto &plan = source.owner->delegatePlan();
    std::map<std::string, int, std::less<>> workers; // By address; empty if called directly.
    for (const auto &[id, worker] : source.owner->scheduler().workers()) {
        if (!worker.retired)
            ++workers[std::string(plan.delegateFor(id, worker.description.zone, source.now))];
    }
    Json rows = Json::array();
    for (const auto &it : plan.delegates())
        rows.push_back({{"node", it.node},
                        {"zone", it.zone},
                        {"address", it.address},
                        {"cores", static_cast<double>(it.milliCores) / 1000},
                        {"workers", workers[it.address]}});
    return jsonResponse({{"owner", source.node},
                         {"workers_called_by_the_owner", workers[std::string()]},
                         {"delegates", std::move(rows)}});
}

HttpResponse maintenance(const NodeViewSource &source)
{
    if (source.owner == nullptr)
        return notOwnerResponse(source);
    const auto &planner = source.owner->maintenance();
    Json rows = Json::array();
    for (const auto number : planner.waves()) {
        const auto *wave = planner.request(number);
        rows.push_back({{"wave", number},
                        {"state", planner.completed(number) ? "completed" : "running"},
                        {"instances", wave->instances.size()},
                        {"maintained", planner.maintainedInstances(number).size()},
                        {"ceiling", wave->maxInstancesDown},
                        {"left_s", toSeconds(planner.deadline(number) - source.now)}});
    }
    return jsonResponse({{"waves", std::move(rows)}});
}

/** Explains the current state of a job to operators. */
std::string reason(const Scheduler &scheduler, const JobRun &job, int running)
{
    if (job.hasEnded())
        return "the job has ended";
    if (auto ceiling = ceilingReason(scheduler, job); !ceiling.empty())
        return ceiling;
    if (job.waitingTasks() == 0 && running == 0)
        return job.nextDueMs() != 0 ? "the next occurrence of the job is not due yet"
                                    : "the results of its last tasks are being saved";
    if (job.waitingTasks() == 0)
        return "all tasks that may run now are on workers";
    return "tasks wait for free capacity on the workers of the pool";
}

void explainRuns(const NodeViewSource &source, std::string_view id, Json &json)
{
    const auto *job = source.owner->scheduler().job(id);
    if (job == nullptr)
        return;
    Json runs = Json::array();
    for (const auto &[name, worker] : source.owner->scheduler().workers()) {
        for (const auto &[task, run] : worker.runs) {
            if (task.job != id)
                continue;
            runs.push_back({{"task", task.position()},
                            {"run", run.run},
                            {"worker", name},
                            {"phase", phaseName(run.phase)},
                            {"percent", run.percent},
                            {"worker_state", workerState(worker, source.now)}});
        }
    }
    json["waiting_tasks"] = job->waitingTasks();
    json["age_s"] = toSeconds(source.now - job->accepted);
    json["to_objective_s"] = toSeconds(job->objective - source.now);
    json["inherited"] = job->inherited;
    if (job->team != nullptr) {
        json["team"] = job->team->name;
        json["rate"] = rateClassName(job->rateClass);
        json["deferred"] = job->deferred;
    }
    json["reason"] = reason(source.owner->scheduler(), *job, static_cast<int>(runs.size()));
    json["runs"] = std::move(runs);
}

HttpResponse explainJob(const NodeViewSource &source, const std::string &id)
{
    if (!source.replica.followsJobs())
        return notOwnerResponse(source);
    const auto *job = source.replica.job(id);
    if (job == nullptr)
        return errorResponse(404, ErrorKind::NotFound, "job " + id);
    const bool ownerCanAnswer = source.owner == nullptr && source.replica.owner().revision != 0;
    if (ownerCanAnswer && !isFinal(*source.replica.status(id)))
        return notOwnerResponse(source);
    Json json{{"job", id},
              {"queue", job->queue},
              {"state", statusName(*source.replica.status(id))},
              {"accepted_revision", job->acceptedRevision},
              {"progress_revision", job->progressRevision},
              {"cancelled", job->cancelled},
              {"owner", source.replica.owner().node}};
    if (const auto progress = decodeProgress(job->progress)) {
        std::size_t done = 0;
        for (const auto &[step, tasks] : progress->done)
            done += tasks.size();
        std::size_t failures = 0;
        for (const auto &[task, runs] : progress->failures)
            failures += runs.size();
        json["saved_occurrences_done"] = progress->occurrencesDone;
        json["saved_steps_done"] = progress->stepsDone.size();
        json["saved_tasks_done_in_open_steps"] = done;
        json["saved_failed_runs"] = failures;
    }
    if (source.owner != nullptr)
        explainRuns(source, id, json);
    return jsonResponse(json);
}

HttpResponse explainInstance(const NodeViewSource &source, const std::string &name)
{
    if (source.owner == nullptr)
        return notOwnerResponse(source);
    Json rows = Json::array();
    for (const auto &[id, worker] : source.owner->scheduler().workers()) {
        if (worker.description.instance != name && id != name)
            continue;
        rows.push_back({{"worker", id},
                        {"instance", worker.description.instance},
                        {"pool", worker.description.pool},
                        {"zone", worker.description.zone},
                        {"address", worker.description.address},
                        {"state", workerState(worker, source.now)},
                        {"runs", worker.runs.size()},
                        {"free_cores", static_cast<double>(worker.free().milliCores) / 1000},
                        {"held_s", toSeconds(worker.heldUntil - source.now)},
                        {"unsaved_ends", worker.pendingEnds.size()}});
    }
    const auto order = source.owner->describeInstanceOrder(name);
    if (rows.empty() && order.empty())
        return errorResponse(404, ErrorKind::NotFound, "instance " + name);
    return jsonResponse({{"instance", name}, {"order", order}, {"workers", std::move(rows)}});
}

/**
 * Explains a submission that is not sent.
 * @param question "HOST?path=PATH&team=TEAM", encoded; the team may be missing
 */
HttpResponse explainRoute(const NodeViewSource &source, std::string_view question)
{
    const auto query = question.find('?');
    const auto parameter = [question, query](std::string_view name) {
        for (auto at = query; at < question.size(); at = question.find('&', at + 1)) {
            const auto text = question.substr(at + 1);
            if (text.starts_with(name))
                return percentDecode(text.substr(name.size(), text.find('&') - name.size()));
        }
        return std::string();
    };
    const auto host = percentDecode(question.substr(0, query));
    const auto path = parameter("path=");
    if (host.empty() || path.empty())
        return errorResponse(400, ErrorKind::InvalidInput, "a host and a path are needed");
    return jsonResponse(explainRoute(source, RouteQuestion{host, path, parameter("team=")}));
}

} // namespace internal

HttpResponse showNode(const NodeViewSource &source, const HttpRequest &request)
{
    constexpr std::string_view jobPrefix = "/v1/explain/job/";
    constexpr std::string_view instancePrefix = "/v1/explain/instance/";
    constexpr std::string_view routePrefix = "/v1/explain/route/";
    if (request.method != "GET")
        return {405, {}, {}};
    const std::string_view target = request.target;
    if (target == "/v1/status")
        return internal::status(source);
    if (target == "/v1/jobs")
        return internal::jobs(source);
    if (target == "/v1/pools")
        return internal::pools(source);
    if (target == "/v1/delegates")
        return internal::delegates(source);
    if (target == "/v1/maintenance")
        return internal::maintenance(source);
    if (target.starts_with(jobPrefix))
        return internal::explainJob(source, std::string(target.substr(jobPrefix.size())));
    if (target.starts_with(routePrefix))
        return internal::explainRoute(source, target.substr(routePrefix.size()));
    if (target.starts_with(instancePrefix))
        return internal::explainInstance(source, std::string(target.substr(instancePrefix.size())));
    return internal::errorResponse(404, ErrorKind::NotFound, std::string(target));
}

} // namespace dragonflysill
