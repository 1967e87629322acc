#pragma once

#include "dragonflysill/base/keyupdate.h"
#include "dragonflysill/base/result.h"
#include "dragonflysill/store/storetypes.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/**
 * The JSON messages of the etcd v3 gateway, as far as the project uses them. Keys and values are
 * base64, 64-bit integers are strings, and fields with a default value may be missing. Decoders
 * return Corrupt for a message in another form.
 */
namespace dragonflysill::gateway {

inline constexpr const char *rangePath = "/v3/kv/range";
inline constexpr const char *putPath = "/v3/kv/put";
inline constexpr const char *transactionPath = "/v3/kv/txn";
inline constexpr const char *compactionPath = "/v3/kv/compaction";
inline constexpr const char *leaseGrantPath = "/v3/lease/grant";
inline constexpr const char *leaseKeepAlivePath = "/v3/lease/keepalive";
inline constexpr const char *leaseRevokePath = "/v3/lease/revoke";
inline constexpr const char *watchPath = "/v3/watch";

/** The gRPC status codes that the gateway puts into the "code" field of an error. */
enum class StatusCode {
    InvalidArgument = 3,
    NotFound = 5,
    ResourceExhausted = 8,
    FailedPrecondition = 9,
    OutOfRange = 11,
    Unavailable = 14
};

/** The body of an answer that reports an error. */
struct ErrorResponse
{
    int code = 0;
    std::string message;
};

/** A request to watch a key range. */
struct WatchRequest
{
    RangeOperation keys;
    std::int64_t startRevision = 0; ///< 0 starts at the next revision.
    bool progressNotify = false;
};

/** One line of a watch stream. */
struct WatchResponse
{
    std::int64_t revision = 0; ///< The store's revision when the line was sent.
    bool created = false;
    bool canceled = false;
    std::int64_t compactRevision = 0; ///< Not 0 if the watch ended because of a compaction.
    std::vector<KeyUpdate> updates;
};

nlohmann::json encodeRange(const RangeOperation &operation);
nlohmann::json encodePut(const PutOperation &operation);
nlohmann::json encodeTransaction(const Transaction &transaction);
nlohmann::json encodeLeaseGrant(std::int64_t ttlSeconds);
nlohmann::json encodeLeaseId(LeaseId id);
nlohmann::json encodeWatch(const WatchRequest &request);

Result<RangeOperation> decodeRange(std::string_view text);
Result<PutOperation> decodePut(std::string_view text);
Result<Transaction> decodeTransaction(std::string_view text);
Result<std::int64_t> decodeLeaseGrant(std::string_view text);
Result<LeaseId> decodeLeaseId(std::string_view text);
Result<WatchRequest> decodeWatch(std::string_view text);
Result<std::int64_t> decodeCompaction(std::string_view text);

nlohmann::json encodeResponse(const RangeResult &result);
nlohmann::json encodeResponse(const Transaction &transaction, const TransactionResult &result);
nlohmann::json encodeResponse(const Lease &lease, std::int64_t revision);
nlohmann::json encodeKeepAliveResponse(const Lease &lease, std::int64_t revision);
nlohmann::json encodeResponse(const WatchResponse &answer);
nlohmann::json encodeResponse(const ErrorResponse &answer);
nlohmann::json encodeHeader(std::int64_t revision);

Result<RangeResult> decodeRangeAnswer(std::string_view text);
/** Checks also that the answer has one response for each operation of the executed branch. */
Result<TransactionResult> decodeTransactionAnswer(const Transaction &transaction,
                                                  std::string_view text);
Result<Lease> decodeLeaseAnswer(std::string_view text);
/** A time to live of 0 says that the lease has expired. */
Result<Lease> decodeKeepAliveAnswer(std::string_view text);
/** Decodes an answer of which only the header matters. */
Result<Done> decodeEmptyAnswer(std::string_view text);
Result<WatchResponse> decodeWatchAnswer(std::string_view text);
Result<ErrorResponse> decodeErrorAnswer(std::string_view text);

} // namespace dragonflysill::gateway
