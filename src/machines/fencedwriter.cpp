#include "dragonflysill/machines/fencedwriter.h"

#include <utility>

namespace dragonflysill {

namespace internal {

Transaction makeTransaction(const FencedWrite &write, Compare fence)
{
    Transaction transaction;
    transaction.compares.push_back(std::move(fence));
    for (const auto &it : write.conditions)
        transaction.compares.push_back(it);
    Compare previous{write.key, CompareTarget::CreateRevision, CompareRelation::Equal, 0, {}};
    if (write.before) {
        previous.target = CompareTarget::Value;
        previous.value = *write.before;
    }
    transaction.compares.push_back(std::move(previous));
    if (write.after)
        transaction.success.emplace_back(PutOperation{write.key, *write.after, write.lease});
    else
        transaction.success.emplace_back(DeleteOperation{write.key, {}});
    transaction.failure.emplace_back(RangeOperation{write.key, {}});
    return transaction;
}

std::int64_t revisionOf(const RangeResult &range)
{
    return range.keyValues.empty() ? 0 : range.keyValues.front().modRevision;
}

} // namespace internal

FencedWriter::FencedWriter(Store &store, const Fence &fence)
    : m_store(store)
    , m_fence(fence)
{
}

WriteOutcome FencedWriter::write(const FencedWrite &write)
{
    auto fence = m_fence.compare();
    if (!fence)
        return {WriteOutcome::Kind::LeaseLost, 0};
    const auto result = m_store.commit(internal::makeTransaction(write, std::move(*fence)));
    if (!result) {
        if (result.error().is(ErrorKind::StoreUnavailable))
            return {WriteOutcome::Kind::Unavailable, 0};
        return readBack(write);
    }
    if (result->succeeded)
        return {WriteOutcome::Kind::Written, write.after ? result->revision : 0};
    const auto revision = result->ranges.empty() ? 0 : internal::revisionOf(result->ranges.front());
    return {WriteOutcome::Kind::Refused, revision};
}

Result<std::int64_t> FencedWriter::modRevision(const std::string &key)
{
    const auto range = m_store.range({key, {}});
    if (!range)
        return range.error();
    return internal::revisionOf(*range);
}

WriteOutcome FencedWriter::readBack(const FencedWrite &write)
{
    const auto range = m_store.range({write.key, {}});
    if (!range)
        return {WriteOutcome::Kind::Unknown, 0};
    const bool present = !range->keyValues.empty();
    const bool equal = present == write.after.has_value()
                       && (!present || range->keyValues.front().value == *write.after);
    return {equal ? WriteOutcome::Kind::Written : WriteOutcome::Kind::Refused,
            internal::revisionOf(*range)};
}

} // namespace dragonflysill
