#include "dragonflysill/store/storeclient.h"

#include "httpcaller.h"
#include "watchstream.h"

#include "dragonflysill/base/storekeys.h"
#include "dragonflysill/store/gatewaycodec.h"

#include <algorithm>
#include <atomic>
#include <optional>
#include <utility>

namespace dragonflysill {

namespace internal {

/** Store::watch guarantees a call of the handler at least once a second. */
constexpr std::chrono::milliseconds watchPollInterval{500};
constexpr int httpOk = 200;

HttpCallerSettings callerSettings(const StoreClientSettings &settings)
{
    return {settings.endpoints,   settings.clientName,     settings.connectTimeout,
            settings.callTimeout, settings.maxAnswerBytes, settings.maxIdleConnections};
}

/**
 * Maps a response with an error status to an Error.
 * @param isWrite whether an unclassified error gives OutcomeUnknown instead of StoreUnavailable
 */
Error toError(const HttpResponse &response, bool isWrite)
{
    const auto decoded = gateway::decodeErrorResponse(response.body);
    if (!decoded)
        return {isWrite ? ErrorKind::OutcomeUnknown : ErrorKind::StoreUnavailable,
                "HTTP status " + std::to_string(response.status)};
    switch (static_cast<gateway::StatusCode>(decoded->code)) {
    case gateway::StatusCode::InvalidArgument:
        return {ErrorKind::InvalidInput, decoded->message};
    case gateway::StatusCode::NotFound:
        return {ErrorKind::LeaseLost, decoded->message};
    case gateway::StatusCode::OutOfRange:
        return {ErrorKind::Compacted, decoded->message};
    case gateway::StatusCode::ResourceExhausted:
        return {ErrorKind::StoreUnavailable, decoded->message};
    case gateway::StatusCode::Unavailable:
        // etcd uses this code for timeouts too, after which the write may still take effect.
        if (decoded->message == "etcdserver: no leader")
            return {ErrorKind::StoreUnavailable, decoded->message};
        break;
    case gateway::StatusCode::FailedPrecondition:
        break;
    }
    return {isWrite ? ErrorKind::OutcomeUnknown : ErrorKind::StoreUnavailable, decoded->message};
}

/** Returns the key of the first written value above maxValueBytes, or nothing. */
std::optional<std::string> findOversizedValue(const Transaction &transaction)
{
    for (const auto *branch : {&transaction.success, &transaction.failure}) {
        for (const Operation &it : *branch) {
            const auto *put = std::get_if<PutOperation>(&it);
            if (put != nullptr && put->value.size() > StoreClient::maxValueBytes)
                return put->key;
        }
    }
    return std::nullopt;
}

} // namespace internal

class StoreClient::Implementation
{
public:
    explicit Implementation(StoreClientSettings settings)
        : m_settings(std::move(settings))
        , m_caller(internal::callerSettings(m_settings))
    {
    }

    /**
     * Sends a call, decodes its response and counts its error.
     * @param isWrite whether the call changes the store; only such calls fail with OutcomeUnknown
     */
    template <typename T, typename Decode>
    Result<T> call(const char *path, const nlohmann::json &body, bool isWrite, Decode decode)
    {
        const auto response = m_caller.call("POST", path, body.dump());
        if (!response) {
            const bool outcomeUnknown = response.error().is(ErrorKind::OutcomeUnknown);
            if (outcomeUnknown && !isWrite)
                return countError<T>(Error(ErrorKind::StoreUnavailable, response.error().detail));
            if (isWrite && response.error().is(ErrorKind::LimitExceeded))
                return countError<T>(Error(ErrorKind::OutcomeUnknown, response.error().detail));
            return countError<T>(response.error());
        }
        if (response->status != internal::httpOk)
            return countError<T>(internal::toError(*response, isWrite));
        return countError<T>(decode(response->body));
    }

    Result<Done> watch(const gateway::WatchRequest &request, const WatchHandler &handler);

    [[nodiscard]] StoreClientCounters counters() const
    {
        return {m_caller.sentCalls() + m_watches, m_unavailable, m_unknown, m_corrupt, m_watches};
    }

private:
    template <typename T>
    Result<T> countError(Result<T> result)
    {
        if (result)
            return result;
        if (result.error().is(ErrorKind::StoreUnavailable))
            ++m_unavailable;
        else if (result.error().is(ErrorKind::OutcomeUnknown))
            ++m_unknown;
        else if (result.error().is(ErrorKind::Corrupt))
            ++m_corrupt;
        return result;
    }

    const StoreClientSettings m_settings;
    internal::HttpCaller m_caller;
    std::atomic<std::int64_t> m_unavailable = 0;
    std::atomic<std::int64_t> m_unknown = 0;
    std::atomic<std::int64_t> m_corrupt = 0;
    std::atomic<std::int64_t> m_watches = 0;
};

Result<Done> StoreClient::Implementation::watch(const gateway::WatchRequest &request,
                                                const WatchHandler &handler)
{
    auto client = m_caller.openStream(m_settings.watchSilenceLimit);
    if (!client)
        return Error(ErrorKind::StoreUnavailable, "no endpoint is configured");
    ++m_watches;
    internal::WatchStream stream(std::move(client), m_caller.headers(), request,
                                 m_settings.maxAnswerBytes);
    std::int64_t completeRevision = request.startRevision - 1;
    for (;;) {
        const auto message = stream.next(internal::watchPollInterval);
        if (message && !message->ok()) {
            m_caller.preferNextEndpoint();
            return countError<Done>(message->error());
        }
        std::span<const KeyUpdate> updates;
        if (message) {
            const gateway::WatchResponse &response = message->value();
            if (response.compactRevision != 0)
                return Error(ErrorKind::Compacted,
                             "the history starts at revision "
                                     + std::to_string(response.compactRevision));
            if (response.canceled)
                return countError<Done>(
                        Error(ErrorKind::StoreUnavailable, "the store cancelled the watch"));
            updates = response.updates;
            // etcd sends all changes of one revision in one message. While it replays history, the
            // header may hold a later revision whose changes are not sent yet, so the revision of
            // the last change is used. The handler is called for the "created" message as well,
            // which tells it that the watch is established.
            if (!updates.empty())
                completeRevision = updates.back().revision;
            else if (!response.created)
                completeRevision = response.revision;
        }
        if (!handler(updates, completeRevision))
            return Done{};
    }
}

StoreClient::StoreClient(StoreClientSettings settings)
    : m_implementation(std::make_unique<Implementation>(std::move(settings)))
{
}

StoreClient::~StoreClient() = default;

Result<RangeResult> StoreClient::range(const RangeOperation &operation)
{
    return m_implementation->call<RangeResult>(gateway::rangePath, gateway::encodeRange(operation),
                                               false, gateway::decodeRangeResponse);
}

Result<TransactionResult> StoreClient::commit(const Transaction &transaction)
{
    if (const auto key = internal::findOversizedValue(transaction))
        return Error(ErrorKind::LimitExceeded, "the value of " + *key + " is larger than 1 MB");
    return m_implementation->call<TransactionResult>(
            gateway::transactionPath, gateway::encodeTransaction(transaction), true,
            [&transaction](const std::string &body) {
                return gateway::decodeTransactionResponse(transaction, body);
            });
}

Result<Lease> StoreClient::grantLease(std::int64_t ttlSeconds)
{
    return m_implementation->call<Lease>(gateway::leaseGrantPath,
                                         gateway::encodeLeaseGrant(ttlSeconds), true,
                                         gateway::decodeLeaseResponse);
}

Result<Lease> StoreClient::renewLease(LeaseId id)
{
    auto lease
            = m_implementation->call<Lease>(gateway::leaseKeepAlivePath, gateway::encodeLeaseId(id),
                                            true, gateway::decodeKeepAliveResponse);
    if (lease && lease->ttlSeconds <= 0)
        return Error(ErrorKind::LeaseLost, "lease " + std::to_string(id) + " has expired");
    return lease;
}

Result<Done> StoreClient::revokeLease(LeaseId id)
{
    return m_implementation->call<Done>(gateway::leaseRevokePath, gateway::encodeLeaseId(id), true,
                                        gateway::decodeHeaderOnlyResponse);
}

Result<Done> StoreClient::watch(std::string_view prefix, std::int64_t startRevision,
                                const WatchHandler &handler)
{
    const gateway::WatchRequest request{
            {std::string(prefix), storekeys::rangeEnd(prefix)}, startRevision, true};
    return m_implementation->watch(request, handler);
}

StoreClientCounters StoreClient::counters() const
{
    return m_implementation->counters();
}

} // namespace dragonflysill
