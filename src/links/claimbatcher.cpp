#include "dragonflysill/links/claimbatcher.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

namespace internal {

/** A claim that could not be deleted after so many calls is left until its lease expires. */
constexpr int maxDeletionFailures = 5;
/** The wait that a caller is told when the queue is full. */
constexpr std::chrono::seconds queueRetryAfter{1};

} // namespace internal

std::string_view toText(ClaimRefusal refusal)
{
    switch (refusal) {
    case ClaimRefusal::DeadlineExceeded:
        return "deadline-exceeded";
    case ClaimRefusal::StoreUnavailable:
        return "store-unavailable";
    case ClaimRefusal::QueueFull:
        return "queue-full";
    case ClaimRefusal::StoreRegressed:
        return "store-regressed";
    case ClaimRefusal::Stopping:
        return "stopping";
    }
    return "";
}

ClaimBatcher::ClaimBatcher(ClaimSettings settings)
    : m_settings(settings)
    , m_budget(settings.callsPerSecond / std::max(settings.entryCount, 1), settings.burst)
    , m_backoff(settings.seed)
{
}

ClaimActions ClaimBatcher::add(ClaimId id, ClaimEntry claim, std::string requestId,
                               TimePoint deadline, TimePoint now)
{
    ClaimActions actions;
    const auto same = m_idByKey.find(claim.key);
    if (same != m_idByKey.end()) {
        ++m_counters.duplicates;
        actions.emplace_back(ClaimDuplicate{id, m_requests.at(same->second).requestId});
        return actions;
    }
    m_idByKey.emplace(claim.key, id);
    m_requests.emplace(id, Request{std::move(claim), std::move(requestId), now, deadline});
    m_deadlines.emplace(deadline, id);
    if (m_stopping)
        refuse(id, ClaimRefusal::Stopping, now, actions);
    else if (now < m_regressedUntil)
        refuse(id, ClaimRefusal::StoreRegressed, now, actions);
    else if (now < m_unavailableUntil)
        refuse(id, ClaimRefusal::StoreUnavailable, now, actions);
    else if (m_requests.size() > m_settings.maxWaiting)
        refuse(id, ClaimRefusal::QueueFull, now, actions);
    else
        m_waiting.push_back(id);
    expire(now, actions);
    startCalls(now, actions);
    return actions;
}

ClaimActions ClaimBatcher::release(ClaimEntry claim, TimePoint now)
{
    ClaimActions actions;
    scheduleDeletion(std::move(claim), now);
    startCalls(now, actions);
    return actions;
}

ClaimActions ClaimBatcher::tick(TimePoint now)
{
    ClaimActions actions;
    expire(now, actions);
    startCalls(now, actions);
    return actions;
}

ClaimActions ClaimBatcher::stop(TimePoint now)
{
    ClaimActions actions;
    m_stopping = true;
    while (!m_requests.empty())
        refuse(m_requests.begin()->first, ClaimRefusal::Stopping, now, actions);
    m_waiting.clear();
    return actions;
}

void ClaimBatcher::setEntryCount(int entryCount, TimePoint now)
{
    m_budget.setRate(m_settings.callsPerSecond / std::max(entryCount, 1), now);
}

void ClaimBatcher::noteRevision(std::int64_t revision)
{
    m_newestRevision = std::max(m_newestRevision, revision);
}

void ClaimBatcher::expire(TimePoint now, ClaimActions &actions)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
        refuse(m_deadlines.begin()->second, ClaimRefusal::DeadlineExceeded, now, actions);
}

void ClaimBatcher::startCalls(TimePoint now, ClaimActions &actions)
{
    if (now < m_unavailableUntil)
        return;
    startReadBack(now, actions);
    if (now < m_regressedUntil)
        refuseWaiting(ClaimRefusal::StoreRegressed, now, actions);
    while (commitIsDue(now) && startLease(now, actions)) {
        const std::size_t calls = m_calls.size();
        startCommit(now, actions);
        if (m_calls.size() == calls)
            break;
    }
    startDeletion(now, actions);
}

bool ClaimBatcher::commitIsDue(TimePoint now) const
{
    if (m_waiting.empty() || commitsInFlight() >= m_settings.maxCallsInFlight)
        return false;
    if (m_waiting.size() >= maxClaimsPerCall || m_settings.maxBatchDelay.count() == 0)
        return true;
    for (const ClaimId id : m_waiting) {
        const auto it = m_requests.find(id);
        if (it != m_requests.end())
            return it->second.added + m_settings.maxBatchDelay <= now;
    }
    return true;
}

std::size_t ClaimBatcher::commitsInFlight() const
{
    return static_cast<std::size_t>(
            std::count_if(m_calls.begin(), m_calls.end(),
                          [](const auto &it) { return it.second.kind == CallKind::Commit; }));
}

bool ClaimBatcher::isRunning(CallKind kind) const
{
    return std::any_of(m_calls.begin(), m_calls.end(),
                       [kind](const auto &it) { return it.second.kind == kind; });
}

ClaimCallId ClaimBatcher::start(Call call, TimePoint now)
{
    ++m_counters.calls;
    call.revisionBefore = m_newestRevision;
    call.sent = now;
    m_calls.emplace(m_nextCall, std::move(call));
    return m_nextCall++;
}

bool ClaimBatcher::startLease(TimePoint now, ClaimActions &actions)
{
    if (m_lease != 0 && now < m_leaseUsableUntil)
        return true;
    if (isRunning(CallKind::Lease) || !m_budget.take(now))
        return false;
    const auto ttl = m_settings.retention + m_settings.leaseWindow;
    Call call;
    call.kind = CallKind::Lease;
    actions.emplace_back(GrantClaimLease{start(std::move(call), now), ttl.count()});
    return false;
}

void ClaimBatcher::startReadBack(TimePoint now, ClaimActions &actions)
{
    for (;;) {
        const auto due = std::find_if(m_readBacks.begin(), m_readBacks.end(),
                                      [now](const ReadBack &it) { return it.due <= now; });
        if (due == m_readBacks.end() || !m_budget.take(now))
            return;
        Call call = std::move(due->call);
        m_readBacks.erase(due);
        ReadClaims action{0, call.claims};
        action.call = start(std::move(call), now);
        actions.emplace_back(std::move(action));
    }
}

void ClaimBatcher::startCommit(TimePoint now, ClaimActions &actions)
{
    while (!m_waiting.empty() && m_requests.count(m_waiting.front()) == 0)
        m_waiting.pop_front();
    if (m_waiting.empty() || !m_budget.take(now))
        return;
    Call call;
    // Claims that were read as absent are not joined with new ones, of which any may be a duplicate
    // that makes the whole commit fail again.
    bool isChecked = false;
    while (!m_waiting.empty() && call.ids.size() < maxClaimsPerCall) {
        const ClaimId id = m_waiting.front();
        const auto it = m_requests.find(id);
        if (it != m_requests.end() && !call.ids.empty() && it->second.checked != isChecked)
            break;
        m_waiting.pop_front();
        if (it == m_requests.end())
            continue;
        isChecked = it->second.checked;
        call.ids.push_back(id);
        call.claims.push_back(it->second.claim);
        call.maybeWritten = call.maybeWritten || it->second.maybeWritten;
    }
    CommitClaims action{0, call.claims, m_lease};
    action.call = start(std::move(call), now);
    ++m_counters.commits;
    actions.emplace_back(std::move(action));
}

void ClaimBatcher::startDeletion(TimePoint now, ClaimActions &actions)
{
    // Waiting requests use the calls first; a deletion has an hour.
    if (!m_waiting.empty() || m_deletions.empty() || m_deletions.front().due > now)
        return;
    if (isRunning(CallKind::Delete) || !m_budget.take(now))
        return;
    Call call;
    call.kind = CallKind::Delete;
    while (!m_deletions.empty() && m_deletions.front().due <= now
           && call.claims.size() < maxClaimsPerCall) {
        call.failures = std::max(call.failures, m_deletions.front().failures);
        call.claims.push_back(std::move(m_deletions.front().claim));
        m_deletions.pop_front();
    }
    DeleteClaims action{0, call.claims};
    action.call = start(std::move(call), now);
    actions.emplace_back(std::move(action));
}

ClaimActions ClaimBatcher::callFinished(ClaimCallId id, const ClaimCallResult &result,
                                        TimePoint now)
{
    ClaimActions actions;
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return actions;
    Call call = std::move(it->second);
    m_calls.erase(it);
    // Requests whose deadline passed during the call, also while this process was paused, must not
    // be granted.
    expire(now, actions);
    switch (call.kind) {
    case CallKind::Commit:
        commitFinished(std::move(call), result, now, actions);
        break;
    case CallKind::Read:
        readFinished(std::move(call), result, now, actions);
        break;
    case CallKind::Delete:
        deletionFinished(call, result, now);
        break;
    case CallKind::Lease:
        break;
    }
    startCalls(now, actions);
    return actions;
}

ClaimActions ClaimBatcher::leaseFinished(ClaimCallId id, LeaseId lease, TimePoint now)
{
    ClaimActions actions;
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return actions;
    const TimePoint sent = it->second.sent;
    m_calls.erase(it);
    expire(now, actions);
    if (lease == 0) {
        noteFailure(now);
        refuseWaiting(ClaimRefusal::StoreUnavailable, now, actions);
        return actions;
    }
    m_backoff.reset();
    m_lease = lease;
    // Counted from the sending, so that the window ends early rather than late.
    m_leaseUsableUntil = sent + m_settings.leaseWindow;
    startCalls(now, actions);
    return actions;
}

bool ClaimBatcher::isRegressed(const Call &call, const ClaimCallResult &result, TimePoint now)
{
    if (result.revision >= call.revisionBefore) {
        noteRevision(result.revision);
        return false;
    }
    // Claims that were written after the store's state are lost, so a duplicate would be granted.
    m_regressedUntil = now + m_settings.retention + m_settings.leaseWindow;
    return true;
}

void ClaimBatcher::commitFinished(Call call, const ClaimCallResult &result, TimePoint now,
                                  ClaimActions &actions)
{
    using Kind = ClaimCallResult::Kind;
    if (result.kind == Kind::Unavailable) {
        noteFailure(now);
        return refuseAll(call, ClaimRefusal::StoreUnavailable, now, actions);
    }
    if (result.kind == Kind::Unknown) {
        ++m_counters.unknownCommits;
        for (const ClaimId id : call.ids) {
            if (const auto it = m_requests.find(id); it != m_requests.end())
                it->second.maybeWritten = true;
        }
        call.maybeWritten = true;
        call.kind = CallKind::Read;
        m_readBacks.push_back({std::move(call), now});
        return;
    }
    if (result.kind == Kind::LeaseLost) {
        m_lease = 0;
        ++m_counters.leasesLost;
        requeue(call, now);
        return;
    }
    m_backoff.reset();
    if (isRegressed(call, result, now))
        return refuseAll(call, ClaimRefusal::StoreRegressed, now, actions);
    if (result.kind == Kind::Succeeded)
        commitSucceeded(call, now, actions);
    else
        decideByValues(call, result, now, actions);
}

void ClaimBatcher::commitSucceeded(const Call &call, TimePoint now, ClaimActions &actions)
{
    for (std::size_t n = 0; n < call.ids.size(); ++n) {
        if (m_requests.count(call.ids[n]) > 0)
            grant(call.ids[n], actions);
        else
            scheduleDeletion(call.claims[n], now);
    }
}

void ClaimBatcher::readFinished(Call call, const ClaimCallResult &result, TimePoint now,
                                ClaimActions &actions)
{
    if (result.kind == ClaimCallResult::Kind::Succeeded) {
        m_backoff.reset();
        if (isRegressed(call, result, now))
            return refuseAll(call, ClaimRefusal::StoreRegressed, now, actions);
        return decideByValues(call, result, now, actions);
    }
    const bool isWanted = std::any_of(call.ids.begin(), call.ids.end(),
                                      [this](ClaimId id) { return m_requests.count(id) > 0; });
    if (isWanted)
        m_readBacks.push_back({std::move(call), now + m_backoff.next()});
    else
        refuseAll(call, ClaimRefusal::StoreUnavailable, now, actions);
}

void ClaimBatcher::decideByValues(const Call &call, const ClaimCallResult &result, TimePoint now,
                                  ClaimActions &actions)
{
    Call absent;
    absent.maybeWritten = call.maybeWritten;
    for (std::size_t n = 0; n < call.ids.size(); ++n) {
        const ClaimId id = call.ids[n];
        const auto found = result.values.find(call.claims[n].key);
        const bool isOwn = found != result.values.end() && found->second == call.claims[n].value;
        if (found == result.values.end()) {
            if (const auto it = m_requests.find(id); it != m_requests.end())
                it->second.checked = true;
            absent.ids.push_back(id);
            absent.claims.push_back(call.claims[n]);
        } else if (m_requests.count(id) == 0) {
            if (isOwn)
                scheduleDeletion(call.claims[n], now);
        } else if (isOwn) {
            grant(id, actions);
        } else {
            duplicate(id, found->second, actions);
        }
    }
    requeue(absent, now);
}

void ClaimBatcher::requeue(const Call &call, TimePoint now)
{
    for (std::size_t n = call.ids.size(); n-- > 0;) {
        if (m_requests.count(call.ids[n]) > 0)
            m_waiting.push_front(call.ids[n]);
        else if (call.maybeWritten)
            scheduleDeletion(call.claims[n], now + m_settings.deleteDelay);
    }
}

void ClaimBatcher::refuseWaiting(ClaimRefusal reason, TimePoint now, ClaimActions &actions)
{
    while (!m_waiting.empty()) {
        refuse(m_waiting.front(), reason, now, actions);
        m_waiting.pop_front();
    }
}

void ClaimBatcher::refuseAll(const Call &call, ClaimRefusal reason, TimePoint now,
                             ClaimActions &actions)
{
    for (std::size_t n = 0; n < call.ids.size(); ++n) {
        refuse(call.ids[n], reason, now, actions);
        // A regressed store was reached; otherwise the claim may be there after a lost answer.
        if (call.maybeWritten || reason == ClaimRefusal::StoreRegressed)
            scheduleDeletion(call.claims[n], now + m_settings.deleteDelay);
    }
}

void ClaimBatcher::deletionFinished(const Call &call, const ClaimCallResult &result, TimePoint now)
{
    using Kind = ClaimCallResult::Kind;
    if (result.kind == Kind::Succeeded) {
        m_counters.deleted += static_cast<std::int64_t>(call.claims.size());
        return;
    }
    const bool isKnown = result.kind == Kind::Failed;
    const int failures = call.failures + 1;
    for (const ClaimEntry &it : call.claims) {
        const auto found = result.values.find(it.key);
        if (isKnown && (found == result.values.end() || found->second != it.value))
            continue;
        if (failures >= internal::maxDeletionFailures)
            ++m_counters.leftToLease;
        else
            scheduleDeletion(it, isKnown ? now : now + m_settings.deleteDelay, failures);
    }
}

void ClaimBatcher::grant(ClaimId id, ClaimActions &actions)
{
    ++m_counters.granted;
    forget(id);
    actions.emplace_back(ClaimGranted{id});
}

void ClaimBatcher::duplicate(ClaimId id, const std::string &value, ClaimActions &actions)
{
    ++m_counters.duplicates;
    forget(id);
    const auto holder = decodeClaim(value);
    actions.emplace_back(ClaimDuplicate{id, holder ? holder->requestId : std::string()});
}

void ClaimBatcher::refuse(ClaimId id, ClaimRefusal reason, TimePoint now, ClaimActions &actions)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end())
        return;
    // The claim of a call in flight is handled when that call ends.
    const bool isWaiting = std::count(m_waiting.begin(), m_waiting.end(), id) > 0;
    if (it->second.maybeWritten && isWaiting)
        scheduleDeletion(it->second.claim, now + m_settings.deleteDelay);
    ++m_counters.refused;
    forget(id);
    Duration wait = retryAfter(now);
    if (reason == ClaimRefusal::QueueFull)
        wait = internal::queueRetryAfter;
    actions.emplace_back(ClaimRefused{id, reason, wait});
}

void ClaimBatcher::forget(ClaimId id)
{
    const auto it = m_requests.find(id);
    m_deadlines.erase({it->second.deadline, id});
    m_idByKey.erase(it->second.claim.key);
    m_requests.erase(it);
}

void ClaimBatcher::scheduleDeletion(ClaimEntry claim, TimePoint due, int failures)
{
    const auto later = std::find_if(m_deletions.begin(), m_deletions.end(),
                                    [due](const Deletion &it) { return it.due > due; });
    m_deletions.insert(later, Deletion{std::move(claim), due, failures});
}

void ClaimBatcher::noteFailure(TimePoint now)
{
    m_unavailableUntil = now + m_backoff.next();
}

Duration ClaimBatcher::retryAfter(TimePoint now) const
{
    return std::max({m_unavailableUntil - now, m_regressedUntil - now, Duration{0}});
}

TimePoint ClaimBatcher::nextTick(TimePoint now) const
{
    TimePoint next = TimePoint::max();
    if (!m_deadlines.empty())
        next = std::min(next, m_deadlines.begin()->first);
    TimePoint call = TimePoint::max();
    for (const ReadBack &it : m_readBacks)
        call = std::min(call, it.due);
    if (!m_waiting.empty() && commitsInFlight() < m_settings.maxCallsInFlight
        && !isRunning(CallKind::Lease))
        call = std::min(call, now + m_settings.maxBatchDelay);
    if (!m_deletions.empty() && m_waiting.empty() && !isRunning(CallKind::Delete))
        call = std::min(call, m_deletions.front().due);
    if (call != TimePoint::max())
        call = std::max({call, m_budget.availableAt(now), m_unavailableUntil});
    return std::min(next, call);
}

} // namespace dragonflysill
