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

/** Store::watch promises a call of the handler at least once a second. */
constexpr std::chrono::milliseconds watchWakeup{500};
constexpr int okStatus = 200;

HttpCallerSettings callerSettings(const StoreClientSettings &settings)
{
    return {settings.endpoints,   settings.clientName,     settings.connectTimeout,
            settings.callTimeout, settings.maxAnswerBytes, settings.maxIdleConnections};
}

/** Classifies an answer with an error status. */
Error refusal(const HttpAnswer &answer, bool isWrite)
{
    const auto decoded = gateway::decodeErrorAnswer(answer.body);
    if (!decoded)
        return {isWrite ? ErrorKind::OutcomeUnknown : ErrorKind::StoreUnavailable,
                "status " + std::to_string(answer.status)};
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
        // etcd reports a timeout with the same code, and then the write may still take effect.
        if (decoded->message == "etcdserver: no leader")
            return {ErrorKind::StoreUnavailable, decoded->message};
        break;
    case gateway::StatusCode::FailedPrecondition:
        break;
    }
    return {isWrite ? ErrorKind::OutcomeUnknown : ErrorKind::StoreUnavailable, decoded->message};
}

/** Returns the key of the first value above the limit. */
std::optional<std::string> tooLargeValue(const Transaction &transaction)
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

    /** Sends a call and decodes its answer. */
    template <typename T, typename Decode>
    Result<T> call(const char *path, const nlohmann::json &body, bool isWrite, Decode decode)
    {
        const auto answer = m_caller.call("POST", path, body.dump());
        if (!answer) {
            const bool isUnknown = answer.error().is(ErrorKind::OutcomeUnknown);
            if (isUnknown && !isWrite)
                return count<T>(Error(ErrorKind::StoreUnavailable, answer.error().detail));
            if (isWrite && answer.error().is(ErrorKind::LimitExceeded))
                return count<T>(Error(ErrorKind::OutcomeUnknown, answer.error().detail));
            return count<T>(answer.error());
        }
        if (answer->status != internal::okStatus)
            return count<T>(internal::refusal(*answer, isWrite));
        return count<T>(decode(answer->body));
    }

    Result<Done> watch(const gateway::WatchRequest &request, const WatchHandler &handler);

    [[nodiscard]] StoreClientCounters counters() const
    {
        return {m_caller.sentCalls() + m_watches, m_unavailable, m_unknown, m_corrupt, m_watches};
    }

private:
    template <typename T>
    Result<T> count(Result<T> result)
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
        return Error(ErrorKind::StoreUnavailable, "no endpoint is set");
    ++m_watches;
    internal::WatchStream stream(std::move(client), m_caller.headers(), request,
                                 m_settings.maxAnswerBytes);
    std::int64_t complete = request.startRevision - 1;
    for (;;) {
        const auto message = stream.next(internal::watchWakeup);
        if (message && !message->ok()) {
            m_caller.preferNextEndpoint();
            return count<Done>(message->error());
        }
        std::span<const KeyUpdate> updates;
        if (message) {
            const gateway::WatchResponse &answer = message->value();
            if (answer.compactRevision != 0)
                return Error(ErrorKind::Compacted,
                             "history starts at " + std::to_string(answer.compactRevision));
            if (answer.canceled)
                return count<Done>(Error(ErrorKind::StoreUnavailable, "the watch was cancelled"));
            updates = answer.updates;
            // etcd sends all changes of one revision in one message, but the header of a message
            // that catches up names a revision whose changes are still to come. The handler is
            // called for the first message too, so that it learns that the watch is established.
            if (!updates.empty())
                complete = updates.back().revision;
            else if (!answer.created)
                complete = answer.revision;
        }
        if (!handler(updates, complete))
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
                                               false, gateway::decodeRangeAnswer);
}

Result<TransactionResult> StoreClient::commit(const Transaction &transaction)
{
    if (const auto key = internal::tooLargeValue(transaction))
        return Error(ErrorKind::LimitExceeded, "the value of " + *key + " is above 1 MB");
    return m_implementation->call<TransactionResult>(
            gateway::transactionPath, gateway::encodeTransaction(transaction), true,
            [&transaction](const std::string &body) {
                return gateway::decodeTransactionAnswer(transaction, body);
            });
}

Result<Lease> StoreClient::grantLease(std::int64_t ttlSeconds)
{
    return m_implementation->call<Lease>(gateway::leaseGrantPath,
                                         gateway::encodeLeaseGrant(ttlSeconds), true,
                                         gateway::decodeLeaseAnswer);
}

Result<Lease> StoreClient::renewLease(LeaseId id)
{
    auto lease
            = m_implementation->call<Lease>(gateway::leaseKeepAlivePath, gateway::encodeLeaseId(id),
                                            true, gateway::decodeKeepAliveAnswer);
    if (lease && lease->ttlSeconds <= 0)
        return Error(ErrorKind::LeaseLost, "lease " + std::to_string(id) + " has expired");
    return lease;
}

Result<Done> StoreClient::revokeLease(LeaseId id)
{
    return m_implementation->call<Done>(gateway::leaseRevokePath, gateway::encodeLeaseId(id), true,
                                        gateway::decodeEmptyAnswer);
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
