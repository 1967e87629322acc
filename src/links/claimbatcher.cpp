#include "dragonflysill/links/claimbatcher.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

namespace internal {

/** After this many failed calls, a claim is not deleted but expires with its lease. */
constexpr int maxDeletionFailures = 5;
/** The retry delay that is reported when the queue is full. */
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
    const auto existing = m_idByKey.find(claim.key);
    if (existing != m_idByKey.end()) {
        ++m_counters.duplicates;
        actions.emplace_back(ClaimDuplicate{id, m_requests.at(existing->second).requestId});
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
    while (commitIsDue(now) && ensureLease(now, actions)) {
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

bool ClaimBatcher::hasCallInFlight(CallKind kind) const
{
    return std::any_of(m_calls.begin(), m_calls.end(),
                       [kind](const auto &it) { return it.second.kind == kind; });
}

ClaimCallId ClaimBatcher::addCall(Call call, TimePoint now)
{
    ++m_counters.calls;
    call.revisionBefore = m_newestRevision;
    call.sent = now;
    m_calls.emplace(m_nextCall, std::move(call));
    return m_nextCall++;
}

bool ClaimBatcher::ensureLease(TimePoint now, ClaimActions &actions)
{
    if (m_lease != 0 && now < m_leaseUsableUntil)
        return true;
    if (hasCallInFlight(CallKind::Lease) || !m_budget.take(now))
        return false;
    const auto ttl = m_settings.retention + m_settings.leaseWindow;
    Call call;
    call.kind = CallKind::Lease;
    actions.emplace_back(GrantClaimLease{addCall(std::move(call), now), ttl.count()});
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
        action.call = addCall(std::move(call), now);
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
    // Claims whose keys were found absent are not batched with new claims: any new one may be a
    // duplicate, which would make the whole commit fail again.
    bool isKnownAbsent = false;
    while (!m_waiting.empty() && call.ids.size() < maxClaimsPerCall) {
        const ClaimId id = m_waiting.front();
        const auto it = m_requests.find(id);
        if (it != m_requests.end() && !call.ids.empty() && it->second.knownAbsent != isKnownAbsent)
            break;
        m_waiting.pop_front();
        if (it == m_requests.end())
            continue;
        isKnownAbsent = it->second.knownAbsent;
        call.ids.push_back(id);
        call.claims.push_back(it->second.claim);
        call.mayBeWritten = call.mayBeWritten || it->second.mayBeWritten;
    }
    CommitClaims action{0, call.claims, m_lease};
    action.call = addCall(std::move(call), now);
    ++m_counters.commits;
    actions.emplace_back(std::move(action));
}

void ClaimBatcher::startDeletion(TimePoint now, ClaimActions &actions)
{
    // Waiting requests have priority; a claim lives for an hour anyway (ClaimSettings::retention).
    if (!m_waiting.empty() || m_deletions.empty() || m_deletions.front().due > now)
        return;
    if (hasCallInFlight(CallKind::Delete) || !m_budget.take(now))
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
    action.call = addCall(std::move(call), now);
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
    // Requests whose deadline passed during the call, or while this process was paused, must not be
    // granted.
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
        startBackoff(now);
        refuseWaiting(ClaimRefusal::StoreUnavailable, now, actions);
        return actions;
    }
    m_backoff.reset();
    m_lease = lease;
    // Measured from when the call was sent, so that the window ends early rather than late.
    m_leaseUsableUntil = sent + m_settings.leaseWindow;
    startCalls(now, actions);
    return actions;
}

bool ClaimBatcher::detectRegression(const Call &call, const ClaimCallResult &result, TimePoint now)
{
    if (result.revision >= call.revisionBefore) {
        noteRevision(result.revision);
        return false;
    }
    // The store has lost the claims written after its current state and would grant duplicates.
    m_regressedUntil = now + m_settings.retention + m_settings.leaseWindow;
    return true;
}

void ClaimBatcher::commitFinished(Call call, const ClaimCallResult &result, TimePoint now,
                                  ClaimActions &actions)
{
    using Kind = ClaimCallResult::Kind;
    if (result.kind == Kind::Unavailable) {
        startBackoff(now);
        return refuseAll(call, ClaimRefusal::StoreUnavailable, now, actions);
    }
    if (result.kind == Kind::Unknown) {
        ++m_counters.unknownCommits;
        for (const ClaimId id : call.ids) {
            if (const auto it = m_requests.find(id); it != m_requests.end())
                it->second.mayBeWritten = true;
        }
        call.mayBeWritten = true;
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
    if (detectRegression(call, result, now))
        return refuseAll(call, ClaimRefusal::StoreRegressed, now, actions);
    if (result.kind == Kind::Succeeded)
        commitSucceeded(call, now, actions);
    else
        resolveFromValues(call, result, now, actions);
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
        if (detectRegression(call, result, now))
            return refuseAll(call, ClaimRefusal::StoreRegressed, now, actions);
        return resolveFromValues(call, result, now, actions);
    }
    const bool hasOpenRequest = std::any_of(call.ids.begin(), call.ids.end(), [this](ClaimId id) {
        return m_requests.count(id) > 0;
    });
    if (hasOpenRequest)
        m_readBacks.push_back({std::move(call), now + m_backoff.next()});
    else
        refuseAll(call, ClaimRefusal::StoreUnavailable, now, actions);
}

void ClaimBatcher::resolveFromValues(const Call &call, const ClaimCallResult &result, TimePoint now,
                                     ClaimActions &actions)
{
    Call absent;
    absent.mayBeWritten = call.mayBeWritten;
    for (std::size_t n = 0; n < call.ids.size(); ++n) {
        const ClaimId id = call.ids[n];
        const auto found = result.values.find(call.claims[n].key);
        const bool isOwnClaim
                = found != result.values.end() && found->second == call.claims[n].value;
        if (found == result.values.end()) {
            if (const auto it = m_requests.find(id); it != m_requests.end())
                it->second.knownAbsent = true;
            absent.ids.push_back(id);
            absent.claims.push_back(call.claims[n]);
        } else if (m_requests.count(id) == 0) {
            if (isOwnClaim)
                scheduleDeletion(call.claims[n], now);
        } else if (isOwnClaim) {
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
        else if (call.mayBeWritten)
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
        // The commit reached a regressed store, or it may have been executed without a response.
        if (call.mayBeWritten || reason == ClaimRefusal::StoreRegressed)
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
    const bool wereValuesRead = result.kind == Kind::Failed;
    const int failures = call.failures + 1;
    for (const ClaimEntry &it : call.claims) {
        const auto found = result.values.find(it.key);
        if (wereValuesRead && (found == result.values.end() || found->second != it.value))
            continue;
        if (failures >= internal::maxDeletionFailures)
            ++m_counters.leftUntilExpiry;
        else
            scheduleDeletion(it, wereValuesRead ? now : now + m_settings.deleteDelay, failures);
    }
}

void ClaimBatcher::grant(ClaimId id, ClaimActions &actions)
{
    ++m_counters.granted;
    removeRequest(id);
    actions.emplace_back(ClaimGranted{id});
}

void ClaimBatcher::duplicate(ClaimId id, const std::string &value, ClaimActions &actions)
{
    ++m_counters.duplicates;
    removeRequest(id);
    const auto holder = decodeClaim(value);
    actions.emplace_back(ClaimDuplicate{id, holder ? holder->requestId : std::string()});
}

void ClaimBatcher::refuse(ClaimId id, ClaimRefusal reason, TimePoint now, ClaimActions &actions)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end())
        return;
    // The claim of a request in a call in flight is handled when that call ends.
    const bool isWaiting = std::count(m_waiting.begin(), m_waiting.end(), id) > 0;
    if (it->second.mayBeWritten && isWaiting)
        scheduleDeletion(it->second.claim, now + m_settings.deleteDelay);
    ++m_counters.refused;
    removeRequest(id);
    Duration wait = retryAfter(now);
    if (reason == ClaimRefusal::QueueFull)
        wait = internal::queueRetryAfter;
    actions.emplace_back(ClaimRefused{id, reason, wait});
}

void ClaimBatcher::removeRequest(ClaimId id)
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

void ClaimBatcher::startBackoff(TimePoint now)
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
        && !hasCallInFlight(CallKind::Lease))
        call = std::min(call, now + m_settings.maxBatchDelay);
    if (!m_deletions.empty() && m_waiting.empty() && !hasCallInFlight(CallKind::Delete))
        call = std::min(call, m_deletions.front().due);
    if (call != TimePoint::max())
        call = std::max({call, m_budget.availableAt(now), m_unavailableUntil});
    return std::min(next, call);
}

} // namespace dragonflysill
