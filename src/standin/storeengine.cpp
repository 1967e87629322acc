#include "dragonflysill/standin/storeengine.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace dragonflysill {

namespace internal {

/** The range end with which etcd includes all keys from the range's start on. */
constexpr std::string_view unboundedRangeEnd("\0", 1);

bool isRelationSatisfied(CompareRelation relation, int order)
{
    switch (relation) {
    case CompareRelation::Equal:
        return order == 0;
    case CompareRelation::NotEqual:
        return order != 0;
    case CompareRelation::Less:
        return order < 0;
    case CompareRelation::Greater:
        return order > 0;
    }
    return false;
}

int compareRevisions(std::int64_t left, std::int64_t right)
{
    return left < right ? -1 : left > right ? 1 : 0;
}

} // namespace internal

bool inRange(std::string_view key, const RangeOperation &range)
{
    if (range.rangeEnd.empty())
        return key == range.key;
    return key >= range.key
           && (range.rangeEnd == internal::unboundedRangeEnd || key < range.rangeEnd);
}

RangeResult StoreEngine::range(const RangeOperation &operation) const
{
    RangeResult result{m_revision, {}};
    for (auto it = m_keys.lower_bound(operation.key); it != m_keys.end(); ++it) {
        if (!inRange(it->first, operation))
            break;
        result.keyValues.push_back(it->second);
    }
    return result;
}

Result<Done> StoreEngine::validateOperations(const std::vector<Operation> &operations) const
{
    if (operations.size() > maxOperations)
        return Error(ErrorKind::LimitExceeded, "too many operations in a transaction");
    std::set<std::string_view> written;
    for (const Operation &it : operations) {
        const auto *put = std::get_if<PutOperation>(&it);
        if (put == nullptr)
            continue;
        if (put->key.empty())
            return Error(ErrorKind::InvalidInput, "key is not provided");
        if (put->value.size() > maxValueBytes)
            return Error(ErrorKind::LimitExceeded, "value of " + put->key + " is too large");
        if (!written.insert(put->key).second)
            return Error(ErrorKind::InvalidInput, "duplicate key in a transaction: " + put->key);
        if (put->lease != 0 && m_leases.count(put->lease) == 0)
            return Error(ErrorKind::LeaseLost, "requested lease not found");
    }
    for (const Operation &it : operations) {
        const auto *erased = std::get_if<DeleteOperation>(&it);
        if (erased == nullptr)
            continue;
        const RangeOperation keys{erased->key, erased->rangeEnd};
        const auto overlaps = [&keys](std::string_view key) { return inRange(key, keys); };
        if (std::any_of(written.begin(), written.end(), overlaps))
            return Error(ErrorKind::InvalidInput, "duplicate key in a transaction: " + keys.key);
    }
    return Done{};
}

bool StoreEngine::isSatisfied(const Compare &compare) const
{
    const auto it = m_keys.find(compare.key);
    if (compare.target == CompareTarget::Value) {
        // As in etcd, a comparison with the value of an absent key is always false.
        return it != m_keys.end()
               && internal::isRelationSatisfied(compare.relation,
                                                it->second.value.compare(compare.value));
    }
    std::int64_t actual = 0;
    if (it != m_keys.end()) {
        actual = compare.target == CompareTarget::CreateRevision ? it->second.createRevision
                                                                 : it->second.modRevision;
    }
    return internal::isRelationSatisfied(compare.relation,
                                         internal::compareRevisions(actual, compare.revision));
}

void StoreEngine::put(const PutOperation &operation)
{
    KeyValue &entry = m_keys[operation.key];
    if (entry.createRevision == 0) {
        entry.key = operation.key;
        entry.createRevision = m_revision;
    }
    entry.value = operation.value;
    entry.modRevision = m_revision;
    entry.lease = operation.lease;
    m_history.push_back({operation.key, operation.value, m_revision, false});
}

bool StoreEngine::erase(const DeleteOperation &operation)
{
    const RangeOperation keys{operation.key, operation.rangeEnd};
    auto it = m_keys.lower_bound(operation.key);
    const auto first = it;
    for (; it != m_keys.end() && inRange(it->first, keys); ++it)
        m_history.push_back({it->first, {}, m_revision, true});
    const bool changed = first != it;
    m_keys.erase(first, it);
    return changed;
}

Result<TransactionResult> StoreEngine::commit(const Transaction &transaction)
{
    for (const auto *branch : {&transaction.success, &transaction.failure}) {
        if (const auto checked = validateOperations(*branch); !checked)
            return checked.error();
    }
    if (transaction.compares.size() > maxOperations)
        return Error(ErrorKind::LimitExceeded, "too many comparisons in a transaction");
    TransactionResult result;
    result.succeeded = std::all_of(transaction.compares.begin(), transaction.compares.end(),
                                   [this](const Compare &it) { return isSatisfied(it); });
    bool changed = false;
    ++m_revision;
    for (const Operation &it : result.succeeded ? transaction.success : transaction.failure) {
        if (const auto *written = std::get_if<PutOperation>(&it)) {
            put(*written);
            changed = true;
        } else if (const auto *erased = std::get_if<DeleteOperation>(&it)) {
            changed = erase(*erased) || changed;
        } else {
            result.ranges.push_back(range(std::get<RangeOperation>(it)));
        }
    }
    if (!changed)
        --m_revision;
    for (RangeResult &it : result.ranges)
        it.revision = m_revision;
    result.revision = m_revision;
    return result;
}

Result<Lease> StoreEngine::grantLease(std::int64_t ttlSeconds, TimePoint now)
{
    if (ttlSeconds <= 0)
        return Error(ErrorKind::InvalidInput, "a lease needs a time to live of at least 1 s");
    const LeaseId id = m_nextLease++;
    m_leases[id] = {ttlSeconds, now + std::chrono::seconds(ttlSeconds)};
    return Lease{id, ttlSeconds};
}

Result<Lease> StoreEngine::renewLease(LeaseId id, TimePoint now)
{
    const auto it = m_leases.find(id);
    if (it == m_leases.end())
        return Error(ErrorKind::LeaseLost, "requested lease not found");
    it->second.expires = now + std::chrono::seconds(it->second.ttlSeconds);
    return Lease{id, it->second.ttlSeconds};
}

Result<Done> StoreEngine::revokeLease(LeaseId id)
{
    if (m_leases.erase(id) == 0)
        return Error(ErrorKind::LeaseLost, "requested lease not found");
    bool changed = false;
    ++m_revision;
    for (auto it = m_keys.begin(); it != m_keys.end();) {
        if (it->second.lease != id) {
            ++it;
            continue;
        }
        m_history.push_back({it->first, {}, m_revision, true});
        it = m_keys.erase(it);
        changed = true;
    }
    if (!changed)
        --m_revision;
    return Done{};
}

std::size_t StoreEngine::expireLeases(TimePoint now)
{
    std::vector<LeaseId> expired;
    for (const auto &[id, state] : m_leases) {
        if (state.expires <= now)
            expired.push_back(id);
    }
    for (const LeaseId id : expired)
        revokeLease(id);
    return expired.size();
}

Result<WatchBatch> StoreEngine::changes(const RangeOperation &keys,
                                        std::int64_t startRevision) const
{
    if (startRevision < m_compactedRevision)
        return Error(ErrorKind::Compacted,
                     "history starts at revision " + std::to_string(m_compactedRevision));
    WatchBatch batch{{}, m_revision};
    auto it = std::lower_bound(
            m_history.begin(), m_history.end(), startRevision,
            [](const KeyUpdate &update, std::int64_t start) { return update.revision < start; });
    for (; it != m_history.end(); ++it) {
        if (inRange(it->key, keys))
            batch.updates.push_back(*it);
    }
    return batch;
}

Result<Done> StoreEngine::compact(std::int64_t revision)
{
    if (revision > m_revision)
        return Error(ErrorKind::InvalidInput, "required revision is a future revision");
    m_compactedRevision = std::max(m_compactedRevision, revision);
    while (!m_history.empty() && m_history.front().revision < m_compactedRevision)
        m_history.pop_front();
    return Done{};
}

void StoreEngine::restore(const StoreEngine &snapshot, TimePoint now)
{
    // etcd never grants a lease id twice, even after a restore.
    const LeaseId nextLease = std::max(m_nextLease, snapshot.m_nextLease);
    *this = snapshot;
    m_nextLease = nextLease;
    for (auto &[id, state] : m_leases)
        state.expires = now + std::chrono::seconds(state.ttlSeconds);
}

std::vector<LeaseId> StoreEngine::leases() const
{
    std::vector<LeaseId> ids;
    ids.reserve(m_leases.size());
    for (const auto &[id, state] : m_leases)
        ids.push_back(id);
    return ids;
}

} // namespace dragonflysill
