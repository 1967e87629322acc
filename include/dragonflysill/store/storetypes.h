#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dragonflysill {

/** Identifies a lease of the store; 0 is no lease. */
using LeaseId = std::int64_t;

/** A key of the store with its value, revisions and lease. */
struct KeyValue
{
    std::string key;
    std::string value;
    std::int64_t createRevision = 0; ///< Store revision at which the key was created.
    std::int64_t modRevision = 0; ///< Store revision of its last change.
    LeaseId lease = 0; ///< 0 if the key is attached to no lease.
};

/** The property of a key that a comparison tests. */
enum class CompareTarget { CreateRevision, ModRevision, Value };
/** The relation that must hold between the property and the given operand. */
enum class CompareRelation { Equal, NotEqual, Less, Greater };

/** One condition of a transaction. */
struct Compare
{
    std::string key;
    CompareTarget target = CompareTarget::CreateRevision;
    CompareRelation relation = CompareRelation::Equal;
    std::int64_t revision = 0; ///< Operand of the revision targets; 0 means that the key is absent.
    std::string value; ///< Operand of CompareTarget::Value.
};

/** Writes a key and attaches it to a lease; lease 0 means none. */
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

/** One operation of a transaction. */
using Operation = std::variant<PutOperation, DeleteOperation, RangeOperation>;

/** An atomic change: runs all of `success` if every comparison holds, otherwise all of `failure`.
 */
struct Transaction
{
    std::vector<Compare> compares;
    std::vector<Operation> success;
    std::vector<Operation> failure;
};

/** The result of a range operation. */
struct RangeResult
{
    std::int64_t revision = 0; ///< The store's revision when it was read.
    std::vector<KeyValue> keyValues;
};

/** The result of a transaction; `ranges` has one element per executed range operation. */
struct TransactionResult
{
    bool succeeded = false; ///< True if the comparisons held.
    std::int64_t revision = 0; ///< The store's revision after the transaction.
    std::vector<RangeResult> ranges;
};

/** A granted lease. */
struct Lease
{
    LeaseId id = 0;
    std::int64_t ttlSeconds = 0; ///< Time until it expires without renewal.
};

} // namespace dragonflysill
