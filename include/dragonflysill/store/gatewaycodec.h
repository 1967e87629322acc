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
 * Encoders and decoders for the JSON messages of the etcd v3 gateway that the project uses. Keys
 * and values are base64, 64-bit integers are strings, and fields with their default value may be
 * missing. Decoders return Corrupt for a malformed message.
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

/** The gRPC status codes in the "code" field of an error response. */
enum class StatusCode {
    InvalidArgument = 3,
    NotFound = 5,
    ResourceExhausted = 8,
    FailedPrecondition = 9,
    OutOfRange = 11,
    Unavailable = 14
};

/** The body of a response with an error status. */
struct ErrorResponse
{
    int code = 0; ///< A gRPC status code; see StatusCode.
    std::string message;
};

/** A request to watch a key range. */
struct WatchRequest
{
    RangeOperation keys;
    std::int64_t startRevision = 0; ///< 0 starts at the next revision.
    bool progressNotify = false; ///< Requests periodic messages while nothing changes.
};

/** One message, which is one line, of a watch stream. */
struct WatchResponse
{
    std::int64_t revision = 0; ///< The store's revision when the message was sent.
    bool created = false; ///< True in the first message, which confirms the watch.
    bool canceled = false; ///< True in the last message if the store ended the watch.
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
nlohmann::json encodeResponse(const WatchResponse &response);
nlohmann::json encodeResponse(const ErrorResponse &response);
nlohmann::json encodeHeader(std::int64_t revision);

Result<RangeResult> decodeRangeResponse(std::string_view text);
/** Also checks that there is one result for each operation of the branch that was executed. */
Result<TransactionResult> decodeTransactionResponse(const Transaction &transaction,
                                                    std::string_view text);
Result<Lease> decodeLeaseResponse(std::string_view text);
/** Returns a lease with a time to live of 0 if the lease has expired. */
Result<Lease> decodeKeepAliveResponse(std::string_view text);
/** Decodes a response of which only the header is needed. */
Result<Done> decodeHeaderOnlyResponse(std::string_view text);
Result<WatchResponse> decodeWatchResponse(std::string_view text);
Result<ErrorResponse> decodeErrorResponse(std::string_view text);

} // namespace dragonflysill::gateway
