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

/** A completely received HTTP response with any status. */
struct HttpResponse
{
    int status = 0;
    std::string body;
};

/** The settings of an HttpCaller. */
struct HttpCallerSettings
{
    std::vector<std::string> endpoints; ///< "IP:PORT" each.
    std::string clientName; ///< Sent in the header Dragonflysill-Client; omitted if empty.
    std::chrono::milliseconds connectTimeout{0};
    std::chrono::milliseconds callTimeout{0}; ///< Limit of a whole call.
    std::size_t maxResponseBytes = 0; ///< A larger body gives LimitExceeded.
    std::size_t maxIdleConnections = 0; ///< Per endpoint.
};

/**
 * Sends JSON calls to the first reachable endpoint. Each call uses one pooled connection
 * exclusively. Thread-safe.
 */
class HttpCaller
{
public:
    explicit HttpCaller(HttpCallerSettings settings);

    /**
     * Sends a request and waits for its response.
     * @param method "GET" or "POST"
     * @param body the JSON body; ignored for "GET"
     * @return a response with any status; StoreUnavailable if no connection could be opened,
     *         OutcomeUnknown if the call failed after that, LimitExceeded for a response above
     *         maxResponseBytes
     */
    Result<HttpResponse> call(const std::string &method, const std::string &path,
                              const std::string &body);

    /**
     * Returns a new unpooled connection to the preferred endpoint, without the headers of
     * headers(), or null if there is no endpoint.
     */
    [[nodiscard]] std::unique_ptr<httplib::Client>
    openStream(std::chrono::milliseconds readTimeout) const;

    /** Makes the next call try the endpoint after the preferred one first. */
    void preferNextEndpoint();

    /** Returns the headers that every call carries. */
    [[nodiscard]] httplib::Headers headers() const;

    /** Returns the number of calls for which a connection could be opened. */
    [[nodiscard]] std::int64_t sentCalls() const { return m_sentCalls; }

private:
    Result<HttpResponse> callEndpoint(ConnectionPool &pool, httplib::Request &request);

    const HttpCallerSettings m_settings;
    std::vector<std::unique_ptr<ConnectionPool>> m_pools;
    std::atomic<std::size_t> m_preferred = 0;
    std::atomic<std::int64_t> m_sentCalls = 0;
};

} // namespace dragonflysill::internal
