#include "httpcaller.h"

#include "dragonflysill/base/time.h"

#include <utility>

namespace dragonflysill::internal {

namespace {

/** Returns true if no connection could be opened, so that no part of the request was sent. */
bool isConnectError(httplib::Error error)
{
    switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
        return true;
    default:
        return false;
    }
}

} // namespace

HttpCaller::HttpCaller(HttpCallerSettings settings)
    : m_settings(std::move(settings))
{
    const ConnectionPool::Limits limits{m_settings.connectTimeout, m_settings.callTimeout,
                                        m_settings.maxIdleConnections};
    for (const std::string &it : m_settings.endpoints)
        m_pools.push_back(std::make_unique<ConnectionPool>(it, limits));
}

httplib::Headers HttpCaller::headers() const
{
    httplib::Headers headers;
    if (!m_settings.clientName.empty())
        headers.emplace("Dragonflysill-Client", m_settings.clientName);
    return headers;
}

Result<HttpResponse> HttpCaller::callEndpoint(ConnectionPool &pool, httplib::Request &request)
{
    const TimePoint deadline = steadyNow() + m_settings.callTimeout;
    HttpResponse result;
    bool tooLarge = false;
    request.content_receiver
            = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
                  tooLarge = result.body.size() + size > m_settings.maxResponseBytes;
                  if (tooLarge || steadyNow() > deadline)
                      return false;
                  result.body.append(data, size);
                  return true;
              };
    auto connection = pool.acquire();
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    if (connection->send(request, response, error)) {
        ++m_sentCalls;
        result.status = response.status;
        pool.release(std::move(connection));
        return result;
    }
    if (isConnectError(error))
        return Error(ErrorKind::StoreUnavailable, "cannot connect");
    ++m_sentCalls;
    pool.closeIdle();
    if (tooLarge)
        return Error(ErrorKind::LimitExceeded, "the response is larger than the limit");
    return Error(ErrorKind::OutcomeUnknown, httplib::to_string(error));
}

Result<HttpResponse> HttpCaller::call(const std::string &method, const std::string &path,
                                      const std::string &body)
{
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.headers = headers();
    if (method == "POST") {
        request.headers.emplace("Content-Type", "application/json");
        request.body = body;
    }
    const std::size_t first = m_preferred;
    for (std::size_t n = 0; n < m_pools.size(); ++n) {
        const std::size_t index = (first + n) % m_pools.size();
        auto result = callEndpoint(*m_pools[index], request);
        if (result || !result.error().is(ErrorKind::StoreUnavailable)) {
            m_preferred = result ? index : (index + 1) % m_pools.size();
            return result;
        }
    }
    return Error(ErrorKind::StoreUnavailable, "cannot connect to any endpoint");
}

std::unique_ptr<httplib::Client> HttpCaller::openStream(std::chrono::milliseconds readTimeout) const
{
    if (m_pools.empty())
        return nullptr;
    return m_pools[m_preferred % m_pools.size()]->open(readTimeout);
}

void HttpCaller::preferNextEndpoint()
{
    if (!m_pools.empty())
        m_preferred = (m_preferred + 1) % m_pools.size();
}

} // namespace dragonflysill::internal
