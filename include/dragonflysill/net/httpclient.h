#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/net/httpmessage.h"
#include "dragonflysill/net/httptraffic.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dragonflysill {

namespace internal {
class HttpConnection;
}

/**
 * HTTP/1.1 client on the event loop. It reuses idle connections to an address and opens new ones as
 * needed. When a call times out, its connection is closed together with all idle connections to the
 * same address, because they may be dead too.
 */
class HttpClient
{
public:
    /** Receives the response, Unreachable if the request was not sent, or else OutcomeUnknown. */
    using Callback = std::function<void(Result<HttpResponse>)>;

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
     * Sends a request.
     * @param address "IP:PORT"
     * @param timeout time for the whole call, including the connection setup
     */
    void call(const std::string &address, HttpRequest request, Duration timeout, Callback callback);

    [[nodiscard]] const HttpTraffic &traffic() const { return m_traffic; }

private:
    friend class internal::HttpConnection;

    /** Closes the idle connections to an address. */
    void closeIdle(const std::string &address);
    void keepIdle(const std::string &address, std::shared_ptr<internal::HttpConnection> connection);

    EventLoop &m_loop;
    std::map<std::string, std::vector<std::shared_ptr<internal::HttpConnection>>, std::less<>>
            m_idle;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    HttpTraffic m_traffic;
};

} // namespace dragonflysill
