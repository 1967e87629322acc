#pragma once

#include "connectionpool.h"

#include "dragonflysill/base/result.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill::internal {

/** A complete answer with any status. */
struct HttpAnswer
{
    int status = 0;
    std::string body;
};

/** The settings of an HttpCaller. */
struct HttpCallerSettings
{
    std::vector<std::string> endpoints;
    std::string clientName;
    std::chrono::milliseconds connectTimeout{0};
    std::chrono::milliseconds callTimeout{0};
    std::size_t maxAnswerBytes = 0;
    std::size_t maxIdleConnections = 0;
};

/** Sends one JSON call at a time on a pooled connection to the first endpoint that can be reached.
 * Thread-safe. */
class HttpCaller
{
public:
    explicit HttpCaller(HttpCallerSettings settings);

    /**
     * Sends a call.
     * @param method "GET" or "POST"
     * @return an answer with any status; StoreUnavailable if no connection could be opened,
     *         OutcomeUnknown if the connection was lost afterwards, LimitExceeded for a too large
     *         answer
     */
    Result<HttpAnswer> call(const std::string &method, const std::string &path,
                            const std::string &body);

    /** Returns a new connection to the endpoint that was reached last, with its headers unset. */
    [[nodiscard]] std::unique_ptr<httplib::Client>
    openStream(std::chrono::milliseconds readTimeout) const;

    /** Makes the next call start with another endpoint. */
    void preferNextEndpoint();

    /** Returns the headers of every call. */
    [[nodiscard]] httplib::Headers headers() const;

    /** Returns the number of calls for which a connection could be opened. */
    [[nodiscard]] std::int64_t sentCalls() const { return m_sentCalls; }

private:
    Result<HttpAnswer> callEndpoint(ConnectionPool &pool, httplib::Request &request);

    const HttpCallerSettings m_settings;
    std::vector<std::unique_ptr<ConnectionPool>> m_pools;
    std::atomic<std::size_t> m_preferred = 0;
    std::atomic<std::int64_t> m_sentCalls = 0;
};

} // namespace dragonflysill::internal
