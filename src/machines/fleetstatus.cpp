#include "dragonflysill/machines/fleetstatus.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace dragonflysill {

namespace internal {

constexpr std::array<std::pair<WaveState, std::string_view>, 4> waveStateNames{
        {{WaveState::Running, "running"},
         {WaveState::Paused, "paused"},
         {WaveState::Finished, "finished"},
         {WaveState::Cancelled, "cancelled"}}};

constexpr std::array<std::pair<JobState, std::string_view>, 5> jobStateNames{
        {{JobState::Waiting, "waiting"},
         {JobState::Running, "running"},
         {JobState::Finished, "finished"},
         {JobState::Impossible, "impossible"},
         {JobState::Cancelled, "cancelled"}}};

constexpr std::array<std::pair<InstancePhase, std::string_view>, 5> movePhaseNames{
        {{InstancePhase::Serving, "serving"},
         {InstancePhase::Leaving, "leaving"},
         {InstancePhase::Warming, "warming"},
         {InstancePhase::Maintenance, "maintenance"},
         {InstancePhase::Failed, "failed"}}};

template <typename Names, typename Enum>
std::string_view enumName(const Names &names, Enum value)
{
    for (const auto &it : names) {
        if (it.first == value)
            return it.second;
    }
    return "unknown";
}

template <typename Names, typename Enum>
void parseEnum(const Names &names, const nlohmann::json &json, Enum &value)
{
    const auto text = json.get<std::string>();
    for (const auto &it : names) {
        if (it.second == text) {
            value = it.first;
            return;
        }
    }
    throw nlohmann::json::other_error::create(501, "unknown value " + text, &json);
}

nlohmann::json toJson(const MoveStatus &move)
{
    return {{"instance", move.instance},
            {"from_pool", move.fromPool},
            {"to_pool", move.toPool},
            {"phase", toText(move.phase)},
            {"epoch", move.epoch},
            {"ticket", move.ticket},
            {"since_ms", move.sinceMs},
            {"reason", move.reason},
            {"waiting_for", move.waitingFor},
            {"remedy", move.remedy}};
}

nlohmann::json toJson(const WaveStatus &wave)
{
    return {{"name", wave.name},     {"ticket", wave.ticket},    {"state", toText(wave.state)},
            {"total", wave.total},   {"done", wave.done},        {"active", wave.active},
            {"reason", wave.reason}, {"since_ms", wave.sinceMs}, {"remedy", wave.remedy}};
}

nlohmann::json toJson(const JobStatus &job)
{
    return {{"name", job.name},     {"team", job.team},         {"ticket", job.ticket},
            {"tasks", job.tasks},   {"placed", job.placed},     {"state", toText(job.state)},
            {"reason", job.reason}, {"finished", job.finished}, {"remedy", job.remedy}};
}

MoveStatus readMove(const nlohmann::json &json)
{
    MoveStatus move;
    json.at("instance").get_to(move.instance);
    json.at("from_pool").get_to(move.fromPool);
    json.at("to_pool").get_to(move.toPool);
    parseEnum(movePhaseNames, json.at("phase"), move.phase);
    json.at("epoch").get_to(move.epoch);
    json.at("ticket").get_to(move.ticket);
    json.at("since_ms").get_to(move.sinceMs);
    json.at("waiting_for").get_to(move.waitingFor);
    json.at("reason").get_to(move.reason);
    json.at("remedy").get_to(move.remedy);
    return move;
}

WaveStatus readWave(const nlohmann::json &json)
{
    WaveStatus wave;
    json.at("name").get_to(wave.name);
    json.at("ticket").get_to(wave.ticket);
    parseEnum(waveStateNames, json.at("state"), wave.state);
    json.at("total").get_to(wave.total);
    json.at("done").get_to(wave.done);
    json.at("active").get_to(wave.active);
    json.at("since_ms").get_to(wave.sinceMs);
    json.at("reason").get_to(wave.reason);
    json.at("remedy").get_to(wave.remedy);
    return wave;
}

JobStatus readJob(const nlohmann::json &json)
{
    JobStatus job;
    json.at("name").get_to(job.name);
    json.at("team").get_to(job.team);
    json.at("ticket").get_to(job.ticket);
    parseEnum(jobStateNames, json.at("state"), job.state);
    json.at("tasks").get_to(job.tasks);
    json.at("placed").get_to(job.placed);
    json.at("finished").get_to(job.finished);
    json.at("reason").get_to(job.reason);
    json.at("remedy").get_to(job.remedy);
    return job;
}

template <typename T>
nlohmann::json listToJson(const std::vector<T> &list)
{
    auto array = nlohmann::json::array();
    for (const auto &it : list)
        array.push_back(toJson(it));
    return array;
}

template <typename T, typename Read>
std::vector<T> readList(const nlohmann::json &array, Read read)
{
    std::vector<T> list;
    for (const auto &it : array)
        list.push_back(read(it));
    return list;
}

/** Merges @p other into @p target. Of two elements with the same name, keeps the higher key. */
template <typename T, typename Key>
void mergeList(std::vector<T> &target, const std::vector<T> &other, std::string T::*name,
               Key T::*key)
{
    for (const auto &it : other) {
        const auto known = std::find_if(target.begin(), target.end(), [&](const T &element) {
            return element.*name == it.*name;
        });
        if (known == target.end())
            target.push_back(it);
        else if (it.*key > (*known).*key)
            *known = it;
    }
    std::sort(target.begin(), target.end(),
              [name](const T &a, const T &b) { return a.*name < b.*name; });
}

} // namespace internal

std::string_view toText(WaveState state)
{
    return internal::enumName(internal::waveStateNames, state);
}

std::string_view toText(JobState state)
{
    return internal::enumName(internal::jobStateNames, state);
}

std::string encodeFleetStatus(const FleetStatus &status)
{
    return nlohmann::json{{"revision", status.revision},
                          {"at_ms", status.atMs},
                          {"moves_finished", status.movesFinished},
                          {"moves", internal::listToJson(status.moves)},
                          {"maintenance", internal::listToJson(status.waves)},
                          {"jobs", internal::listToJson(status.jobs)},
                          {"buffer",
                           {{"idle_instances", status.buffer.idleInstances},
                            {"required_instances", status.buffer.requiredInstances},
                            {"baseline_instances", status.buffer.baselineInstances}}}}
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<FleetStatus> decodeFleetStatus(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return Error(ErrorKind::Corrupt, "fleet status is not a JSON object");
    try {
        FleetStatus status;
        json.at("revision").get_to(status.revision);
        json.at("at_ms").get_to(status.atMs);
        json.at("moves_finished").get_to(status.movesFinished);
        status.moves = internal::readList<MoveStatus>(json.at("moves"), internal::readMove);
        status.waves = internal::readList<WaveStatus>(json.at("maintenance"), internal::readWave);
        status.jobs = internal::readList<JobStatus>(json.at("jobs"), internal::readJob);
        const auto &buffer = json.at("buffer");
        buffer.at("idle_instances").get_to(status.buffer.idleInstances);
        buffer.at("required_instances").get_to(status.buffer.requiredInstances);
        buffer.at("baseline_instances").get_to(status.buffer.baselineInstances);
        return status;
    } catch (const nlohmann::json::exception &e) {
        return Error(ErrorKind::Corrupt, e.what());
    }
}

void mergeFleetStatus(FleetStatus &target, const FleetStatus &other)
{
    internal::mergeList(target.moves, other.moves, &MoveStatus::instance, &MoveStatus::sinceMs);
    internal::mergeList(target.waves, other.waves, &WaveStatus::name, &WaveStatus::sinceMs);
    internal::mergeList(target.jobs, other.jobs, &JobStatus::name, &JobStatus::ticket);
    target.movesFinished += other.movesFinished;
    target.buffer.idleInstances += other.buffer.idleInstances;
    target.buffer.requiredInstances += other.buffer.requiredInstances;
    target.buffer.baselineInstances += other.buffer.baselineInstances;
    target.revision = std::min(target.revision, other.revision);
    target.atMs = std::min(target.atMs, other.atMs);
}

void FleetStatusHolder::set(FleetStatus status)
{
    const std::lock_guard lock(m_mutex);
    m_status = std::move(status);
}

FleetStatus FleetStatusHolder::get() const
{
    const std::lock_guard lock(m_mutex);
    return m_status;
}

} // namespace dragonflysill
