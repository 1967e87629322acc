#include "dragonflysill/peers/codec.h"

#include <peers_generated.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace dragonflysill {

namespace internal {

/** Version of the batches; a decoder refuses others. */
constexpr std::uint32_t batchVersion = 1;
/** Length of a job id in a JobKey. */
constexpr std::size_t jobKeyLength = 16;
/** Number of payloads that a decoder keeps, and that an encoder takes for known. */
constexpr std::uint32_t keptPayloads = 4096;
constexpr std::uint32_t knownPayloads = keptPayloads / 2;
/** Encodes an unknown status or count. */
constexpr int unknownValue = -1;

using Builder = flatbuffers::FlatBufferBuilder;

peers::JobKey encodeJob(std::string_view id)
{
    std::array<char, jobKeyLength> text{};
    std::copy_n(id.begin(), std::min(id.size(), text.size()), text.begin());
    std::array<std::uint64_t, 2> parts{};
    std::memcpy(parts.data(), text.data(), text.size());
    return {parts[0], parts[1]};
}

std::string decodeJob(const peers::JobKey &key)
{
    const std::array<std::uint64_t, 2> parts{key.first(), key.second()};
    std::array<char, jobKeyLength> text{};
    std::memcpy(text.data(), parts.data(), text.size());
    return std::string(text.begin(), std::find(text.begin(), text.end(), '\0'));
}

peers::TaskKey encodeTask(const TaskId &task)
{
    return {encodeJob(task.job), task.occurrence, static_cast<std::uint16_t>(task.step),
            static_cast<std::uint16_t>(task.index)};
}

TaskId decodeTask(const peers::TaskKey &key)
{
    return {decodeJob(key.job()), key.occurrence(), key.step(), key.index()};
}

std::uint32_t encodeTime(Milliseconds time)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, time.count()));
}

std::string toString(const flatbuffers::String *text)
{
    return text == nullptr ? std::string() : text->str();
}

/** Collects the messages of a batch by kind. */
class BatchBuilder
{
public:
    explicit BatchBuilder(PeerEncoder &encoder)
        : m_encoder(encoder)
    {
    }

    void add(const Numbered<PeerRequest> &request)
    {
        std::visit([&](const auto &it) { add(request.call, it); }, request.message);
    }

    void add(const Numbered<PeerAnswer> &answer)
    {
        std::visit([&](const auto &it) { add(answer.call, it); }, answer.message);
    }

    std::string finish(const PeerBatch &batch)
    {
        const auto workers = tables(m_workers);
        const auto statusQueries = structs(m_statusQueries);
        const auto pendingQueries = tables(m_pendingQueries);
        const auto starts = tables(m_starts);
        const auto stops = structs(m_stops);
        const auto paces = structs(m_paces);
        const auto holds = structs(m_holds);
        const auto statusAnswers = structs(m_statusAnswers);
        const auto pendingAnswers = structs(m_pendingAnswers);
        const auto confirmed = structs(m_confirmed);
        const auto refused = structs(m_refused);
        const auto reports = tables(m_reports);
        const auto failures = tables(m_failures);
        const auto storedKeys = tables(m_storedKeys);
        const auto payloads = tables(m_payloads);
        const auto statusTeams = tables(m_statusTeams);
        const auto holdIncarnations = structs(m_holdIncarnations);
        m_builder.Finish(peers::CreateBatch(m_builder, batchVersion, batch.sentMs, batch.fence,
                                            workers, statusQueries, pendingQueries, starts, stops,
                                            paces, holds, statusAnswers, pendingAnswers, confirmed,
                                            refused, reports, failures, storedKeys, payloads,
                                            statusTeams, holdIncarnations));
        return {reinterpret_cast<const char *>(m_builder.GetBufferPointer()), m_builder.GetSize()};
    }

private:
    template <typename Struct>
    flatbuffers::Offset<flatbuffers::Vector<const Struct *>>
    structs(const std::vector<Struct> &items)
    {
        return items.empty() ? 0 : m_builder.CreateVectorOfStructs(items);
    }

    template <typename Table>
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<Table>>>
    tables(const std::vector<flatbuffers::Offset<Table>> &items)
    {
        return items.empty() ? 0 : m_builder.CreateVector(items);
    }

    std::uint32_t worker(const WorkerTarget &target)
    {
        const auto number = m_encoder.workerNumber(target);
        if (number.isNew)
            m_workers.push_back(peers::CreateWorkerName(m_builder, number.value,
                                                        m_builder.CreateString(target.id),
                                                        m_builder.CreateString(target.address)));
        return number.value;
    }

    std::uint32_t payload(const StartTask &order)
    {
        const auto number = m_encoder.payloadNumber(order.task.job);
        if (number.isNew)
            m_payloads.push_back(peers::CreatePayload(m_builder, number.value,
                                                      m_builder.CreateString(order.payload)));
        return number.value;
    }

    flatbuffers::Offset<flatbuffers::String> optionalText(const std::string &text)
    {
        return text.empty() ? 0 : m_builder.CreateString(text);
    }

    void add(std::uint32_t call, const StatusQuery &query)
    {
        m_statusQueries.emplace_back(call, encodeTime(query.wait), encodeJob(query.job));
    }

    void add(std::uint32_t call, const PendingQuery &query)
    {
        m_pendingQueries.push_back(
                peers::CreatePendingQuery(m_builder, call, m_builder.CreateString(query.queue)));
    }

    void add(std::uint32_t /*call*/, const StoredKey &stored)
    {
        m_storedKeys.push_back(peers::CreateStoredKey(m_builder, m_builder.CreateString(stored.key),
                                                      m_builder.CreateString(stored.value),
                                                      stored.revision));
    }

    void add(std::uint32_t call, const DelegatedStart &start)
    {
        const auto &order = start.order;
        const auto number = worker({order.worker, start.address});
        const auto task = encodeTask(order.task);
        const auto payloadNumber = payload(order);
        const auto checkpoint = optionalText(order.checkpoint);
        const auto ticket = optionalText(order.ticket);
        m_starts.push_back(peers::CreateStart(m_builder, call, number, encodeTime(start.timeout),
                                              &task, order.run, order.holdUntil, payloadNumber,
                                              checkpoint, ticket, order.startedMs));
    }

    void add(std::uint32_t call, const DelegatedStop &stop)
    {
        const auto &order = stop.order;
        m_stops.emplace_back(call, worker({order.worker, stop.address}), encodeTime(stop.timeout),
                             order.run, encodeTask(order.task));
    }

    void add(std::uint32_t call, const DelegatedPace &pace)
    {
        const auto &order = pace.order;
        m_paces.emplace_back(call, worker({order.worker, pace.address}), encodeTime(pace.timeout),
                             order.run, order.percent, encodeTask(order.task));
    }

    void add(std::uint32_t call, const DelegatedHold &hold)
    {
        m_holds.emplace_back(call, worker(hold.worker), encodeTime(hold.timeout),
                             encodeTime(hold.wait), hold.request.acknowledgedEnds,
                             hold.request.holdUntil.value_or(0), hold.request.holdUntil.has_value(),
                             hold.listRunning);
        if (hold.request.startedMs != 0)
            m_holdIncarnations.emplace_back(call, hold.request.startedMs);
    }

    void add(std::uint32_t call, const StatusAnswer &answer)
    {
        m_statusAnswers.emplace_back(call, answer.status ? static_cast<int>(*answer.status)
                                                         : unknownValue);
        if (answer.team)
            m_statusTeams.push_back(
                    peers::CreateStatusTeam(m_builder, call, m_builder.CreateString(*answer.team)));
    }

    void add(std::uint32_t call, const PendingAnswer &answer)
    {
        m_pendingAnswers.emplace_back(call, answer.count.value_or(unknownValue));
    }

    void add(std::uint32_t call, const OrderConfirmed &answer)
    {
        m_confirmed.emplace_back(call, answer.clock);
    }

    void add(std::uint32_t call, StartRefusal reason)
    {
        m_refused.emplace_back(call, static_cast<int>(reason));
    }

    void add(std::uint32_t call, const Error &error)
    {
        m_failures.push_back(peers::CreateFailure(m_builder, call, error.code.value(),
                                                  m_builder.CreateString(error.detail)));
    }

    void add(std::uint32_t call, const WorkerReport &report)
    {
        std::vector<flatbuffers::Offset<flatbuffers::String>> checkpoints;
        const auto checkpointNumber = [&](const std::string &text) {
            if (text.empty())
                return std::uint16_t{0};
            checkpoints.push_back(m_builder.CreateString(text));
            return static_cast<std::uint16_t>(checkpoints.size());
        };
        std::vector<peers::Running> running;
        running.reserve(report.running.size());
        for (const auto &it : report.running)
            running.emplace_back(encodeTask(it.task), static_cast<float>(it.usage.value_or(0)),
                                 it.run, static_cast<std::int16_t>(it.percent),
                                 checkpointNumber(it.checkpoint), it.usage.has_value());
        std::vector<peers::Ended> ended;
        ended.reserve(report.ended.size());
        for (const auto &it : report.ended)
            ended.emplace_back(it.number, encodeTask(it.task), it.run,
                               static_cast<std::uint16_t>(it.end), checkpointNumber(it.checkpoint));
        const auto runningRows = structs(running);
        const auto endedRows = structs(ended);
        const auto texts = m_builder.CreateVector(checkpoints);
        m_reports.push_back(peers::CreateReport(m_builder, call, report.startedMs, report.clock,
                                                runningRows, endedRows, texts,
                                                report.runningListed));
    }

    PeerEncoder &m_encoder;
    Builder m_builder;
    std::vector<flatbuffers::Offset<peers::WorkerName>> m_workers;
    std::vector<peers::StatusQuery> m_statusQueries;
    std::vector<flatbuffers::Offset<peers::PendingQuery>> m_pendingQueries;
    std::vector<flatbuffers::Offset<peers::Start>> m_starts;
    std::vector<peers::Stop> m_stops;
    std::vector<peers::Pace> m_paces;
    std::vector<peers::Hold> m_holds;
    std::vector<peers::HoldIncarnation> m_holdIncarnations;
    std::vector<peers::StatusAnswer> m_statusAnswers;
    std::vector<peers::PendingAnswer> m_pendingAnswers;
    std::vector<peers::Confirmed> m_confirmed;
    std::vector<peers::Refused> m_refused;
    std::vector<flatbuffers::Offset<peers::Report>> m_reports;
    std::vector<flatbuffers::Offset<peers::Failure>> m_failures;
    std::vector<flatbuffers::Offset<peers::StoredKey>> m_storedKeys;
    std::vector<flatbuffers::Offset<peers::Payload>> m_payloads;
    std::vector<flatbuffers::Offset<peers::StatusTeam>> m_statusTeams;
};

/** Calls a function for each item of a vector that may be missing. */
template <typename Vector, typename Function>
void forEach(const Vector *items, Function function)
{
    if (items == nullptr)
        return;
    for (const auto *it : *items)
        function(*it);
}

/** Converts a verified batch; a value that no encoder writes makes it invalid. */
class BatchReader
{
public:
    BatchReader(const peers::Batch &from,
                const std::unordered_map<std::uint32_t, WorkerTarget> &workers,
                const std::map<std::uint32_t, std::string> &payloads)
        : m_from(from)
        , m_workers(workers)
        , m_payloads(payloads)
    {
        m_batch.sentMs = from.sent_ms();
        m_batch.fence = from.fence();
    }

    Result<PeerBatch> read()
    {
        readQueries();
        readOrders();
        readAnswers();
        readReports();
        if (!m_valid)
            return Error(ErrorKind::Corrupt, "batch has an unknown number or value");
        return std::move(m_batch);
    }

private:
    void addRequest(std::uint32_t call, PeerRequest message)
    {
        m_batch.requests.push_back({call, std::move(message)});
    }

    void addAnswer(std::uint32_t call, PeerAnswer message)
    {
        m_batch.answers.push_back({call, std::move(message)});
    }

    WorkerTarget worker(std::uint32_t number)
    {
        const auto it = m_workers.find(number);
        m_valid = m_valid && it != m_workers.end();
        return it == m_workers.end() ? WorkerTarget{} : it->second;
    }

    std::string payload(std::uint32_t number)
    {
        const auto it = m_payloads.find(number);
        m_valid = m_valid && it != m_payloads.end();
        return it == m_payloads.end() ? std::string() : it->second;
    }

    template <typename Enum>
    Enum enumValue(int value, Enum first, Enum last)
    {
        const bool known = value >= static_cast<int>(first) && value <= static_cast<int>(last);
        m_valid = m_valid && known;
        return known ? static_cast<Enum>(value) : first;
    }

    void readQueries()
    {
        forEach(m_from.status_queries(), [this](const peers::StatusQuery &it) {
            addRequest(it.call(), StatusQuery{decodeJob(it.job()), Milliseconds(it.wait_ms())});
        });
        forEach(m_from.pending_queries(), [this](const peers::PendingQuery &it) {
            addRequest(it.call(), PendingQuery{it.queue()->str()});
        });
        forEach(m_from.stored_keys(), [this](const peers::StoredKey &it) {
            addRequest(noCall, StoredKey{it.key()->str(), it.value()->str(), it.revision()});
        });
    }

    void readOrders()
    {
        forEach(m_from.starts(), [this](const peers::Start &it) {
            auto target = worker(it.worker());
            StartTask order{std::move(target.id),
                            decodeTask(*it.task()),
                            it.run(),
                            payload(it.payload()),
                            toString(it.checkpoint()),
                            toString(it.ticket()),
                            it.hold_until(),
                            it.started_ms()};
            addRequest(it.call(), DelegatedStart{std::move(order), std::move(target.address),
                                                 Milliseconds(it.timeout_ms())});
        });
        forEach(m_from.stops(), [this](const peers::Stop &it) {
            auto target = worker(it.worker());
            StopTask order{std::move(target.id), decodeTask(it.task()), it.run()};
            addRequest(it.call(), DelegatedStop{std::move(order), std::move(target.address),
                                                Milliseconds(it.timeout_ms())});
        });
        forEach(m_from.paces(), [this](const peers::Pace &it) {
            auto target = worker(it.worker());
            PaceTask order{std::move(target.id), decodeTask(it.task()), it.run(), it.percent()};
            addRequest(it.call(), DelegatedPace{std::move(order), std::move(target.address),
                                                Milliseconds(it.timeout_ms())});
        });
        std::unordered_map<std::uint32_t, std::int64_t> incarnations;
        forEach(m_from.hold_incarnations(), [&incarnations](const peers::HoldIncarnation &it) {
            incarnations.emplace(it.call(), it.started_ms());
        });
        forEach(m_from.holds(), [this, &incarnations](const peers::Hold &it) {
            DelegatedHold hold{worker(it.worker()),
                               {},
                               Milliseconds(it.wait_ms()),
                               Milliseconds(it.timeout_ms()),
                               it.list_running()};
            hold.request.acknowledgedEnds = it.acknowledged();
            if (it.extend())
                hold.request.holdUntil = it.hold_until();
            if (const auto found = incarnations.find(it.call()); found != incarnations.end())
                hold.request.startedMs = found->second;
            addRequest(it.call(), std::move(hold));
        });
    }

    void readAnswers()
    {
        std::unordered_map<std::uint32_t, std::string> teams;
        forEach(m_from.status_teams(), [&teams](const peers::StatusTeam &it) {
            teams.emplace(it.call(), it.team()->str());
        });
        forEach(m_from.status_answers(), [this, &teams](const peers::StatusAnswer &it) {
            StatusAnswer answer;
            if (const auto team = teams.find(it.call()); team != teams.end())
                answer.team = std::move(team->second);
            if (it.status() != unknownValue)
                answer.status = enumValue(it.status(), JobStatus::Queued, JobStatus::Cancelled);
            addAnswer(it.call(), answer);
        });
        forEach(m_from.pending_answers(), [this](const peers::PendingAnswer &it) {
            PendingAnswer answer;
            if (it.count() != unknownValue)
                answer.count = it.count();
            addAnswer(it.call(), answer);
        });
        forEach(m_from.confirmed(), [this](const peers::Confirmed &it) {
            addAnswer(it.call(), OrderConfirmed{it.clock()});
        });
        forEach(m_from.refused(), [this](const peers::Refused &it) {
            addAnswer(it.call(),
                      enumValue(it.reason(), StartRefusal::Fenced, StartRefusal::NotSent));
        });
        forEach(m_from.failures(), [this](const peers::Failure &it) {
            addAnswer(it.call(), Error(enumValue(it.kind(), ErrorKind::InvalidInput,
                                                 ErrorKind::SettingsInvalid),
                                       toString(it.detail())));
        });
    }

    void readReports()
    {
        forEach(m_from.reports(),
                [this](const peers::Report &it) { addAnswer(it.call(), readReport(it)); });
    }

    WorkerReport readReport(const peers::Report &from)
    {
        const auto checkpoint = [&from](std::size_t number) {
            return number == 0 || from.checkpoints() == nullptr
                                   || number > from.checkpoints()->size()
                           ? std::string()
                           : toString(from.checkpoints()->Get(
                                   static_cast<flatbuffers::uoffset_t>(number - 1)));
        };
        WorkerReport report;
        report.startedMs = from.started_ms();
        report.clock = from.clock();
        report.runningListed = from.running_listed();
        forEach(from.running(), [&](const peers::Running &it) {
            RunningReport row{decodeTask(it.task()), it.run(), checkpoint(it.checkpoint()),
                              it.percent(), std::nullopt};
            if (it.has_usage())
                row.usage = it.usage();
            report.running.push_back(std::move(row));
        });
        forEach(from.ended(), [&](const peers::Ended &it) {
            report.ended.push_back({it.number(), decodeTask(it.task()), it.run(),
                                    enumValue(it.how(), RunEnd::Done, RunEnd::GangIncomplete),
                                    checkpoint(it.checkpoint())});
        });
        return report;
    }

    const peers::Batch &m_from;
    const std::unordered_map<std::uint32_t, WorkerTarget> &m_workers;
    const std::map<std::uint32_t, std::string> &m_payloads;
    PeerBatch m_batch;
    bool m_valid = true;
};

} // namespace internal

PeerEncoder::Number PeerEncoder::workerNumber(const WorkerTarget &worker)
{
    const auto [it, isNew] = m_workers.try_emplace(worker.id + '@' + worker.address,
                                                   static_cast<std::uint32_t>(m_workers.size()));
    return {it->second, isNew};
}

PeerEncoder::Number PeerEncoder::payloadNumber(const std::string &job)
{
    const auto it = m_payloads.find(job);
    if (it != m_payloads.end())
        return {it->second, false};
    if (m_payloadJobs.size() >= internal::knownPayloads) {
        m_payloads.erase(m_payloadJobs.front());
        m_payloadJobs.pop_front();
    }
    m_payloads.emplace(job, ++m_lastPayload);
    m_payloadJobs.push_back(job);
    return {m_lastPayload, true};
}

std::string PeerEncoder::encode(const PeerBatch &batch)
{
    internal::BatchBuilder builder(*this);
    for (const auto &it : batch.requests)
        builder.add(it);
    for (const auto &it : batch.answers)
        builder.add(it);
    return builder.finish(batch);
}

Result<PeerBatch> PeerDecoder::decode(std::string_view bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                                   bytes.size());
    if (!peers::VerifyBatchBuffer(verifier))
        return Error(ErrorKind::Corrupt, "batch failed verification");
    const auto &from = *peers::GetBatch(bytes.data());
    if (from.version() != internal::batchVersion)
        return Error(ErrorKind::Corrupt,
                     "batch has the unknown version " + std::to_string(from.version()));
    internal::forEach(from.workers(), [this](const peers::WorkerName &it) {
        m_workers[it.number()] = {it.id()->str(), it.address()->str()};
    });
    internal::forEach(from.payloads(), [this](const peers::Payload &it) {
        m_payloads[it.number()] = it.text()->str();
        while (m_payloads.size() > internal::keptPayloads)
            m_payloads.erase(m_payloads.begin());
    });
    return internal::BatchReader(from, m_workers, m_payloads).read();
}

} // namespace dragonflysill
