#include "dragonflysill/jobs/jobcodec.h"

#include "dragonflysill/jobs/json.h"

#include <array>
#include <limits>
#include <map>
#include <set>
#include <tuple>

namespace dragonflysill {

namespace internal {

constexpr std::array stateNames{"queued", "running", "completed", "failed", "cancelled"};

/** Writes a field unless it has its default value. */
template <typename T>
void put(Json &json, const char *name, const T &value, const T &defaultValue = {})
{
    if (value != defaultValue)
        json[name] = value;
}

Json encodeStep(const JobStep &step)
{
    Json json{{"n", step.count}, {"cpu", step.need.milliCores}, {"mem", step.need.memoryMb}};
    put(json, "acc", step.need.accelerators);
    put(json, "est", step.estimate.count());
    put(json, "after", step.after);
    put(json, "label", step.requiredLabel);
    put(json, "rack", step.dataRack);
    put(json, "image", step.image);
    put(json, "spread", step.maxPerWorker);
    put(json, "down", step.maxUnavailable);
    put(json, "target", step.latencyTarget.count());
    put(json, "gang", step.gang);
    put(json, "tight", step.sameRack);
    put(json, "saves", step.savesProgress);
    put(json, "copies", step.speculative);
    put(json, "lasts", step.persistent);
    put(json, "fills", step.bestEffort);
    return json;
}

JobStep decodeStep(const Json &json)
{
    JobStep step;
    step.count = json.at("n");
    step.need = {json.at("cpu"), json.at("mem"), json.value("acc", std::int64_t{0})};
    step.estimate = Milliseconds(json.value("est", std::int64_t{0}));
    step.after = json.value("after", std::vector<int>{});
    step.requiredLabel = json.value("label", "");
    step.dataRack = json.value("rack", "");
    step.image = json.value("image", "");
    step.maxPerWorker = json.value("spread", 0);
    step.maxUnavailable = json.value("down", 0);
    step.latencyTarget = Milliseconds(json.value("target", std::int64_t{0}));
    step.gang = json.value("gang", false);
    step.sameRack = json.value("tight", false);
    step.savesProgress = json.value("saves", false);
    step.speculative = json.value("copies", false);
    step.persistent = json.value("lasts", false);
    step.bestEffort = json.value("fills", false);
    return step;
}

JobSpec decodeSpec(const Json &json)
{
    JobSpec spec;
    spec.payload = json.at("payload");
    for (const auto &it : json.at("steps"))
        spec.steps.push_back(decodeStep(it));
    spec.occurrences = json.value("times", 1);
    spec.scheduled = json.value("timed", false);
    spec.firstDueMs = json.value("first", std::int64_t{0});
    spec.interval = Milliseconds(json.value("every", std::int64_t{0}));
    return spec;
}

using RunsByTask = std::map<std::tuple<int, int, int>, std::set<int>>;

Json encodeRuns(const RunsByTask &runs)
{
    Json rows = Json::array();
    for (const auto &[key, numbers] : runs)
        rows.push_back({std::get<0>(key), std::get<1>(key), std::get<2>(key), numbers});
    return rows;
}

RunsByTask decodeRuns(const Json &rows)
{
    RunsByTask runs;
    for (const auto &it : rows)
        runs[{it.at(0), it.at(1), it.at(2)}] = it.at(3).get<std::set<int>>();
    return runs;
}

using TrialsByTask = std::map<std::tuple<int, int, int>, std::map<int, Trial>>;

Json encodeTrials(const TrialsByTask &trials)
{
    Json rows = Json::array();
    for (const auto &[key, runs] : trials) {
        for (const auto &[run, trial] : runs)
            rows.push_back({std::get<0>(key), std::get<1>(key), std::get<2>(key), run,
                            trial.target.worker, trial.target.startedMs, trial.confirmed});
    }
    return rows;
}

TrialsByTask decodeTrials(const Json &rows)
{
    TrialsByTask trials;
    // Nodes of the previous revision leave out whether a start was confirmed.
    constexpr std::size_t confirmedField = 6;
    for (const auto &it : rows)
        trials[{it.at(0), it.at(1), it.at(2)}][it.at(3).get<int>()]
                = {{it.at(4).get<std::string>(), it.at(5).get<std::int64_t>()},
                   it.size() > confirmedField && it.at(confirmedField).get<bool>()};
    return trials;
}

JobStatus parseState(const std::string &name)
{
    for (std::size_t n = 0; n < stateNames.size(); ++n) {
        if (name == stateNames[n])
            return static_cast<JobStatus>(n);
    }
    throw std::invalid_argument("unknown job state " + name);
}

} // namespace internal

std::string encodeJob(const SubmittedJob &job)
{
    Json steps = Json::array();
    for (const auto &it : job.spec.steps)
        steps.push_back(internal::encodeStep(it));
    Json json{{"queue", job.queue},
              {"pool", job.pool},
              {"attempts", job.policy.attempts},
              {"slack", job.policy.slackFactor},
              {"runtime", job.policy.targetRuntime.count()},
              {"accepted", job.acceptedMs},
              {"payload", job.spec.payload},
              {"steps", std::move(steps)}};
    internal::put(json, "team", job.team);
    internal::put(json, "priority", job.policy.priority);
    if (const auto &it = job.policy.workerAdmission)
        json["admission"] = {it->perCall.count(), it->perWorker.count(), it->validity.count()};
    internal::put(json, "times", job.spec.occurrences, 1);
    internal::put(json, "timed", job.spec.scheduled);
    internal::put(json, "first", job.spec.firstDueMs);
    internal::put(json, "every", job.spec.interval.count());
    return dump(json);
}

Result<SubmittedJob> decodeJob(std::string_view id, std::string_view bytes)
{
    return decodeJson<SubmittedJob>(bytes, [id](const Json &json) {
        SubmittedJob job;
        job.id = id;
        job.queue = json.at("queue");
        job.pool = json.at("pool");
        job.team = json.value("team", "");
        job.policy.attempts = json.at("attempts");
        job.policy.priority = json.value("priority", 0);
        job.policy.slackFactor = json.at("slack");
        job.policy.targetRuntime = Milliseconds(json.at("runtime").get<std::int64_t>());
        // Nodes of earlier versions do not store it.
        if (json.contains("admission")) {
            const auto time = [&row = json.at("admission")](std::size_t n) {
                return Milliseconds(integerIn(row.at(n), 0, std::numeric_limits<int>::max()));
            };
            job.policy.workerAdmission = {time(0), time(1), time(2)};
        }
        job.acceptedMs = json.at("accepted");
        job.spec = internal::decodeSpec(json);
        return job;
    });
}

JobOrigin decodeOrigin(std::string_view bytes)
{
    const auto json = Json::parse(bytes, nullptr, false);
    const auto text = [&json](const char *name) {
        return json.is_object() && json.contains(name) && json[name].is_string()
                       ? json[name].get<std::string>()
                       : std::string();
    };
    return {text("queue"), text("team")};
}

std::string_view statusName(JobStatus status)
{
    return internal::stateNames.at(static_cast<std::size_t>(status));
}

std::string encodeProgress(const JobProgress &progress)
{
    Json done = Json::array();
    for (const auto &[key, indexes] : progress.done)
        done.push_back({key.first, key.second, indexes});
    Json json{{"state", statusName(progress.state)}};
    internal::put(json, "occurrences", progress.occurrencesDone);
    if (!progress.stepsDone.empty())
        json["steps"] = progress.stepsDone;
    if (!done.empty())
        json["done"] = std::move(done);
    if (!progress.failures.empty())
        json["failures"] = internal::encodeRuns(progress.failures);
    if (!progress.crashes.empty())
        json["crashes"] = internal::encodeRuns(progress.crashes);
    if (!progress.unconfirmedCrashes.empty())
        json["unconfirmedCrashes"] = internal::encodeRuns(progress.unconfirmedCrashes);
    if (!progress.trials.empty())
        json["startTargets"] = internal::encodeTrials(progress.trials);
    internal::put(json, "ended", progress.endedMs);
    return json.dump();
}

Result<JobProgress> decodeProgress(std::string_view bytes)
{
    return decodeJson<JobProgress>(bytes, [](const Json &json) {
        JobProgress progress;
        progress.state = internal::parseState(json.at("state"));
        if (json.contains("occurrences"))
            progress.occurrencesDone = static_cast<int>(
                    integerIn(json["occurrences"], 0, std::numeric_limits<int>::max()));
        if (json.contains("steps"))
            progress.stepsDone = json.at("steps").get<std::set<JobProgress::StepKey>>();
        for (const auto &it : json.value("done", Json::array()))
            progress.done[{it.at(0), it.at(1)}] = it.at(2).get<std::set<int>>();
        progress.failures = internal::decodeRuns(json.value("failures", Json::array()));
        progress.crashes = internal::decodeRuns(json.value("crashes", Json::array()));
        progress.unconfirmedCrashes
                = internal::decodeRuns(json.value("unconfirmedCrashes", Json::array()));
        progress.trials = internal::decodeTrials(json.value("startTargets", Json::array()));
        progress.endedMs = json.value("ended", std::int64_t{0});
        return progress;
    });
}

Result<JobStatus> decodeState(std::string_view bytes)
{
    return decodeJson<JobStatus>(
            bytes, [](const Json &json) { return internal::parseState(json.at("state")); });
}

} // namespace dragonflysill
