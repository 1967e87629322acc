#pragma once

#include "dragonflysill/store/store.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace dragonflysill {

/** The settings of a StoreClient. */
struct StoreClientSettings
{
    std::vector<std::string> endpoints; ///< "IP:PORT" of the store; the first that answers is used.
    std::string clientName; ///< Sent with every call in the header Dragonflysill-Client.
    std::chrono::milliseconds connectTimeout{500};
    std::chrono::milliseconds callTimeout{2000}; ///< Limit of a whole call but not of a watch.
    /** A watch that receives not even a progress message for this long has lost its connection. */
    std::chrono::milliseconds watchSilenceLimit{5000};
    std::size_t maxAnswerBytes = 64UL * 1024 * 1024; ///< A larger answer gives LimitExceeded.
    std::size_t maxIdleConnections = 8;
};

/** Calls that a StoreClient made since it was created. */
struct StoreClientCounters
{
    std::int64_t calls = 0; ///< Calls that reached an endpoint, watches included.
    std::int64_t unavailable = 0;
    std::int64_t unknown = 0;
    std::int64_t corrupt = 0;
    std::int64_t watches = 0;
};

/**
 * The store over the etcd v3 JSON gateway. Calls run on pooled keep-alive connections, one call at
 * a time on each. It repeats a call only on another endpoint and only if no connection could be
 * opened, so that no write runs twice; back-off is up to the caller. Thread-safe.
 *
 * In addition to the errors of Store: LimitExceeded for a value above 1 MB (nothing is sent) or an
 * answer above the limit, InvalidInput if the store refuses the request's form.
 */
class StoreClient : public Store
{
public:
    /** The platform's limit of a value. */
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

    /** Returns the calls since the client was created. */
    [[nodiscard]] StoreClientCounters counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace dragonflysill
