#include "simulation.h"

#include "dragonflysill/base/hash.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds requestDeadline{2000};
constexpr std::chrono::milliseconds longestRepeatDelay{500};
/** Share of granted requests that no backend server accepts, so that the claim is released. */
constexpr double releasedShare = 0.02;
/** The round trip of a store call takes 2 ms to 6 ms. */
constexpr double shortestLatencyMs = 2;
constexpr double latencySpreadMs = 4;

ClaimCallResult execute(MemoryStore &store, const Transaction &transaction)
{
    using Kind = ClaimCallResult::Kind;
    const auto result = store.commit(transaction);
    if (result) {
        return {result->succeeded ? Kind::Succeeded : Kind::Failed, result->revision,
                claimValues(*result)};
    }
    if (result.error().is(ErrorKind::LeaseLost))
        return {Kind::LeaseLost, 0, {}};
    return {result.error().is(ErrorKind::OutcomeUnknown) ? Kind::Unknown : Kind::Unavailable,
            0,
            {}};
}

double milliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

double quantile(std::vector<Duration> &times, double share)
{
    if (times.empty())
        return 0;
    const auto nth = times.begin()
                     + static_cast<std::ptrdiff_t>(share * static_cast<double>(times.size() - 1));
    std::nth_element(times.begin(), nth, times.end());
    return milliseconds(*nth);
}

} // namespace internal

ClaimSimulation::ClaimSimulation(SimulationSettings settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_entries(settings.entries)
{
    for (std::size_t n = 0; n < m_entries.size(); ++n)
        restart(n);
}

ClaimSimulation::~ClaimSimulation() = default;

Duration ClaimSimulation::latency()
{
    const double ms = internal::shortestLatencyMs + internal::latencySpreadMs * m_random.unit();
    return std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000));
}

void ClaimSimulation::at(TimePoint time, std::function<void()> event)
{
    m_events.emplace(std::max(time, m_now), std::move(event));
}

SimulationResult ClaimSimulation::run()
{
    scheduleArrivals();
    if (m_settings.withFaults)
        scheduleFaults();
    while (!m_events.empty()) {
        const auto first = m_events.begin();
        m_now = first->first;
        const auto event = std::move(first->second);
        m_events.erase(first);
        event();
    }
    m_result.storeCalls += m_store.calls().total();
    for (const Attempt &it : m_attempts)
        m_result.unknown += it.decided ? 0 : 1;
    for (const auto &[key, runs] : m_runs)
        m_result.runTwice += runs > 1 ? 1 : 0;
    for (const Entry &it : m_entries)
        m_result.unknownCommits += it.batcher->counters().unknownCommits;
    m_result.p50Ms = internal::quantile(m_grantTimes, 0.5);
    m_result.p99Ms = internal::quantile(m_grantTimes, 0.99);
    return m_result;
}

void ClaimSimulation::scheduleArrivals()
{
    TimePoint time = m_now;
    for (std::size_t key = 0; key < m_settings.requests; ++key) {
        const double gapMs = m_random.exponential(1000 / m_settings.ratePerSecond);
        time += std::chrono::microseconds(static_cast<std::int64_t>(gapMs * 1000));
        const std::size_t entry = m_random.below(m_settings.entries);
        at(time, [this, entry, key] { arrive(entry, key); });
        if (m_random.unit() >= m_settings.repeatShare)
            continue;
        const std::size_t other
                = (entry + 1 + m_random.below(m_settings.entries - 1)) % m_settings.entries;
        const auto delay = internal::longestRepeatDelay * m_random.unit();
        at(time + std::chrono::duration_cast<Duration>(delay),
           [this, other, key] { arrive(other, key); });
    }
}

void ClaimSimulation::scheduleFaults()
{
    using namespace std::chrono_literals;
    const double seconds = static_cast<double>(m_settings.requests) / m_settings.ratePerSecond;
    const TimePoint start = m_now;
    const auto random = [&] {
        return start
               + std::chrono::milliseconds(static_cast<int>(m_random.unit() * seconds * 1000));
    };
    const int rounds = std::max(static_cast<int>(seconds / 5), 1);
    for (int n = 0; n < rounds; ++n) {
        const std::size_t paused = m_random.below(m_settings.entries);
        const auto pause = std::chrono::milliseconds(200 + m_random.below(4000));
        at(random(), [this, paused, pause] { m_entries[paused].pausedUntil = m_now + pause; });
        const std::size_t killed = m_random.below(m_settings.entries);
        at(random(), [this, killed] { restart(killed); });
        const TimePoint down = random();
        at(down, [this] { m_store.setFaults({.down = true}); });
        at(down + 300ms, [this] { m_store.setFaults({}); });
        at(random(), [this] { m_store.setFaults({.loseAnswers = 5}); });
        at(random(), [this] { m_store.setFaults({.loseAnswers = 2, .loseRequests = 5}); });
    }
}

void ClaimSimulation::restart(std::size_t entry)
{
    Entry &it = m_entries[entry];
    if (it.batcher)
        m_result.unknownCommits += it.batcher->counters().unknownCommits;
    ClaimSettings settings;
    settings.entryCount = static_cast<int>(m_settings.entries);
    settings.maxBatchDelay = m_settings.groupDelay;
    settings.seed = m_random.next();
    it.batcher = std::make_unique<ClaimBatcher>(settings);
    it.attempts.clear();
    it.tick.reset();
    ++it.incarnation;
    countTakeOverCalls(entry);
}

void ClaimSimulation::countTakeOverCalls(std::size_t)
{
    // Alternative (b): the new owner raises its epoch and reads the claims of the previous one.
    constexpr std::int64_t takeOverCalls = 2;
    if (m_settings.design == ClaimDesign::OwnerGroups)
        m_result.storeCalls += takeOverCalls;
}

std::size_t ClaimSimulation::ownerOf(std::size_t key) const
{
    std::vector<std::string> names;
    names.reserve(m_entries.size());
    for (std::size_t n = 0; n < m_entries.size(); ++n)
        names.push_back("e" + std::to_string(n));
    return static_cast<std::size_t>(rendezvousIndex(std::to_string(key), names));
}

void ClaimSimulation::arrive(std::size_t entry, std::size_t key)
{
    if (m_settings.design == ClaimDesign::OwnerGroups)
        entry = ownerOf(key);
    if (m_now < m_entries[entry].pausedUntil) {
        at(m_entries[entry].pausedUntil, [this, entry, key] { arrive(entry, key); });
        return;
    }
    const ClaimId id = m_nextId++;
    const std::string requestId = "r" + std::to_string(id);
    ClaimEntry claim{claimKey("pay", std::to_string(key)),
                     encodeClaim({"e" + std::to_string(entry), m_entries[entry].incarnation, id,
                                  requestId})};
    const std::size_t attempt = m_attempts.size();
    m_attempts.push_back({key, m_now, m_now + internal::requestDeadline, claim});
    ++m_result.attempts;
    if (m_settings.design == ClaimDesign::WritePerRequest)
        return claimInOwnTransaction(attempt);
    m_entries[entry].attempts[id] = attempt;
    apply(entry, m_entries[entry].batcher->add(id, std::move(claim), requestId,
                                               m_attempts[attempt].deadline, m_now));
}

void ClaimSimulation::claimInOwnTransaction(std::size_t attempt)
{
    Attempt &it = m_attempts[attempt];
    const auto result = internal::execute(m_store, createClaims(std::vector{it.claim}, 0));
    it.decided = true;
    if (result.kind == ClaimCallResult::Kind::Succeeded) {
        ++m_runs[it.key];
        ++m_result.answered;
    } else {
        ++m_result.unknown;
    }
}

void ClaimSimulation::runWhenNotPaused(std::size_t entry, int incarnation,
                                       const std::function<void()> &event)
{
    Entry &it = m_entries[entry];
    if (it.incarnation != incarnation)
        return;
    if (m_now >= it.pausedUntil)
        return event();
    at(it.pausedUntil,
       [this, entry, incarnation, event] { runWhenNotPaused(entry, incarnation, event); });
}

void ClaimSimulation::apply(std::size_t entry, ClaimActions actions)
{
    for (ClaimAction &action : actions) {
        if (const auto *it = std::get_if<ClaimGranted>(&action)) {
            granted(entry, it->id);
        } else if (const auto *duplicate = std::get_if<ClaimDuplicate>(&action)) {
            m_attempts[m_entries[entry].attempts.at(duplicate->id)].decided = true;
            ++m_result.unknown;
        } else if (const auto *refused = std::get_if<ClaimRefused>(&action)) {
            reportNotRun(m_attempts[m_entries[entry].attempts.at(refused->id)]);
        } else {
            call(entry, action);
        }
    }
    scheduleTick(entry);
}

void ClaimSimulation::reportNotRun(Attempt &attempt)
{
    attempt.decided = true;
    ++m_result.notRun;
    if (attempt.ran)
        ++m_result.falseNotRun;
}

void ClaimSimulation::granted(std::size_t entry, ClaimId id)
{
    Attempt &attempt = m_attempts[m_entries[entry].attempts.at(id)];
    if (m_random.unit() < internal::releasedShare) {
        reportNotRun(attempt);
        apply(entry, m_entries[entry].batcher->release(attempt.claim, m_now));
        return;
    }
    attempt.ran = true;
    attempt.decided = true;
    ++m_runs[attempt.key];
    ++m_result.answered;
    m_grantTimes.push_back(m_now - attempt.arrived);
}

void ClaimSimulation::call(std::size_t entry, const ClaimAction &action)
{
    const int incarnation = m_entries[entry].incarnation;
    const Duration requestLatency = latency() / 2;
    const Duration responseLatency = latency() / 2;
    const auto report = [this, entry, incarnation, responseLatency](auto function) {
        at(m_now + responseLatency, [this, entry, incarnation, function] {
            runWhenNotPaused(entry, incarnation, [this, entry, function] {
                apply(entry, function(*m_entries[entry].batcher));
            });
        });
    };
    if (const auto *lease = std::get_if<GrantClaimLease>(&action)) {
        at(m_now + requestLatency, [this, report, lease = *lease] {
            const auto granted = m_store.grantLease(lease.ttlSeconds);
            report([this, call = lease.call, id = granted ? granted->id : 0](ClaimBatcher &it) {
                return it.leaseFinished(call, id, m_now);
            });
        });
        return;
    }
    Transaction transaction;
    ClaimCallId id = 0;
    if (const auto *commit = std::get_if<CommitClaims>(&action)) {
        transaction = createClaims(commit->claims, commit->lease);
        id = commit->call;
    } else if (const auto *read = std::get_if<ReadClaims>(&action)) {
        transaction = readClaims(read->claims);
        id = read->call;
    } else {
        const auto &deletion = std::get<DeleteClaims>(action);
        transaction = deleteClaims(deletion.claims);
        id = deletion.call;
    }
    at(m_now + requestLatency, [this, report, transaction, id] {
        report([this, id, result = internal::execute(m_store, transaction)](ClaimBatcher &it) {
            return it.callFinished(id, result, m_now);
        });
    });
}

void ClaimSimulation::scheduleTick(std::size_t entry)
{
    Entry &it = m_entries[entry];
    const TimePoint next = it.batcher->nextTick(m_now);
    if (next == TimePoint::max() || (it.tick && *it.tick <= next))
        return;
    // A tick without effect must not be scheduled for the same time again, which would never end.
    const TimePoint time = std::max(next, m_now + std::chrono::milliseconds(1));
    it.tick = time;
    at(time, [this, entry, incarnation = it.incarnation] {
        runWhenNotPaused(entry, incarnation, [this, entry] {
            m_entries[entry].tick.reset();
            apply(entry, m_entries[entry].batcher->tick(m_now));
        });
    });
}

} // namespace dragonflysill
