#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace dragonflysill {

/** The headers of a request that identify it. */
struct RequestIdentity
{
    std::string requestId;
    std::string idempotencyKey;
    std::string pool;
    std::int64_t epoch = 0;
};

/** Counts the requests that a backend server ran, for tests and benchmarks. Thread-safe. */
class RunLog
{
public:
    /** Records the start of a run; returns how often this request id ran, including this run. */
    std::int64_t started(const RequestIdentity &identity);

    /** Records the end of a run. */
    void finished(const RequestIdentity &identity);

    /** Records a request that was refused before its start. */
    void refused();

    /**
     * Returns the counts.
     * @param withIds includes the runs of each request id and each idempotency key
     */
    [[nodiscard]] nlohmann::json toJson(bool withIds) const;

private:
    mutable std::mutex m_mutex;
    std::int64_t m_started = 0;
    std::int64_t m_finished = 0;
    std::int64_t m_refused = 0;
    std::int64_t m_lowerEpochs = 0;
    std::int64_t m_mixedPools = 0;
    std::int64_t m_newestEpoch = 0;
    std::map<std::string, std::int64_t> m_byRequestId;
    std::map<std::string, std::int64_t> m_byIdempotencyKey;
    std::map<std::string, std::int64_t> m_byPool;
    std::map<std::string, std::int64_t> m_inFlightByPool;
};

} // namespace dragonflysill
