#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/net/httpmessage.h"

#include <cstdint>
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
 * An HTTP/1.1 client on the event loop. It keeps idle connections for each address and opens new
 * ones as calls need them. A connection whose answer did not arrive in time is closed together with
 * the idle ones to the same address, because all of them may have gone silent.
 */
class HttpClient
{
public:
    /** Receives the response, Unreachable if nothing was sent, or OutcomeUnknown. */
    using Callback = std::function<void(Result<HttpResponse>)>;

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
     * Sends a request.
     * @param address "IP:PORT"
     * @param timeout for the whole call, connecting included
     */
    void call(const std::string &address, HttpRequest request, Duration timeout, Callback callback);

    /** Returns the connections opened so far. */
    [[nodiscard]] std::uint64_t opened() const { return m_opened; }

private:
    friend class internal::HttpConnection;

    /** Closes the idle connections to an address. */
    void forget(const std::string &address);
    void release(const std::string &address, std::shared_ptr<internal::HttpConnection> connection);

    EventLoop &m_loop;
    std::map<std::string, std::vector<std::shared_ptr<internal::HttpConnection>>, std::less<>>
            m_idle;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::uint64_t m_opened = 0;
};

} // namespace dragonflysill
