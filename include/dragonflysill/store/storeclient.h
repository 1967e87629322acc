#pragma once

#include "dragonflysill/store/store.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace dragonflysill {

/** Endpoints, timeouts and limits of a StoreClient. */
struct StoreClientSettings
{
    std::vector<std::string> endpoints; ///< "IP:PORT" each; the first reachable one is used.
    std::string clientName; ///< Sent with every call in the header Dragonflysill-Client.
    std::chrono::milliseconds connectTimeout{500};
    std::chrono::milliseconds callTimeout{2000}; ///< Limit of a whole call; not for watches.
    /** A watch without any message, progress notifications included, fails after this time. */
    std::chrono::milliseconds watchSilenceLimit{5000};
    std::size_t maxAnswerBytes = 64UL * 1024 * 1024; ///< A larger response gives LimitExceeded.
    std::size_t maxIdleConnections = 8; ///< Per endpoint.
};

/** Counts of a StoreClient's calls and errors since it was created. */
struct StoreClientCounters
{
    std::int64_t calls = 0; ///< Calls for which a connection was opened, and all watches.
    std::int64_t unavailable = 0; ///< Errors of kind StoreUnavailable.
    std::int64_t unknown = 0; ///< Errors of kind OutcomeUnknown.
    std::int64_t corrupt = 0; ///< Errors of kind Corrupt.
    std::int64_t watches = 0; ///< Watches that were started.
};

/**
 * Client of the store over the etcd v3 JSON gateway. Calls run on pooled keep-alive connections,
 * one call at a time on each. A call is retried only on another endpoint and only if no connection
 * could be opened, so that no write runs twice; back-off is up to the caller. Thread-safe.
 *
 * In addition to the errors of Store: LimitExceeded for a value above 1 MB (nothing is sent) or a
 * response above the limit, InvalidInput if the store rejects the request as malformed.
 */
class StoreClient : public Store
{
public:
    /** The platform's limit for the size of a value. */
    static constexpr std::size_t maxValueBytes = 1024UL * 1024;

    explicit StoreClient(StoreClientSettings settings);
    ~StoreClient() override;

    Result<RangeResult> range(const RangeOperation &operation) override;
    Result<TransactionResult> commit(const Transaction &transaction) override;
    Result<Lease> grantLease(std::int64_t ttlSeconds) override;
    Result<Lease> renewLease(LeaseId id) override;
    Result<Done> revokeLease(LeaseId id) override;
    Result<Done> watch(std::string_view prefix, std::int64_t startRevision,
                       const WatchHandler &handler) override;

    /** Returns the counters since the client was created. */
    [[nodiscard]] StoreClientCounters counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace dragonflysill
