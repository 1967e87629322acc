#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dragonflysill {

using LeaseId = std::int64_t;

/** A key of the store with its revisions. */
struct KeyValue
{
    std::string key;
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    LeaseId lease = 0; ///< 0 if the key is attached to no lease.
};

/** The property of a key that a comparison reads. */
enum class CompareTarget { CreateRevision, ModRevision, Value };
enum class CompareRelation { Equal, NotEqual, Less, Greater };

/** One condition of a transaction. */
struct Compare
{
    std::string key;
    CompareTarget target = CompareTarget::CreateRevision;
    CompareRelation relation = CompareRelation::Equal;
    std::int64_t revision = 0; ///< For the two revision targets; 0 means the key is absent.
    std::string value; ///< For CompareTarget::Value.
};

/** Writes a key. */
struct PutOperation
{
    std::string key;
    std::string value;
    LeaseId lease = 0;
};

/** Deletes [key, rangeEnd), or just key if rangeEnd is empty. */
struct DeleteOperation
{
    std::string key;
    std::string rangeEnd;
};

/** Reads [key, rangeEnd), or just key if rangeEnd is empty. */
struct RangeOperation
{
    std::string key;
    std::string rangeEnd;
};

using Operation = std::variant<PutOperation, DeleteOperation, RangeOperation>;

/** Runs all of `success` if every comparison holds, otherwise all of `failure`. */
struct Transaction
{
    std::vector<Compare> compares;
    std::vector<Operation> success;
    std::vector<Operation> failure;
};

/** The result of a range operation. */
struct RangeResult
{
    std::int64_t revision = 0; ///< The store's revision at the read.
    std::vector<KeyValue> keyValues;
};

/** The result of a transaction; `ranges` has one element per executed range operation. */
struct TransactionResult
{
    bool succeeded = false; ///< True if the comparisons held.
    std::int64_t revision = 0;
    std::vector<RangeResult> ranges;
};

/** A granted lease. */
struct Lease
{
    LeaseId id = 0;
    std::int64_t ttlSeconds = 0;
};

} // namespace dragonflysill
