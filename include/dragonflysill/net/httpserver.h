#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/net/httpmessage.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace dragonflysill {

namespace internal {
class HttpListener;
class HttpSession;
} // namespace internal

/** What an HttpServer accepts of its clients. */
struct HttpServerLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 262144;
    std::chrono::milliseconds idle{15000}; ///< Between two requests of a connection.
    std::chrono::milliseconds request{10000}; ///< From the first byte of a request to its last.
};

/**
 * An HTTP/1.1 server on the event loop. Requests of one connection are handled in order, and the
 * handler may answer later. Malformed requests, among them ones with ambiguous framing, are
 * answered with 400 and the connection is closed.
 */
class HttpServer
{
public:
    /** Sends the response of one request; calls after the first are ignored. */
    using Respond = std::function<void(HttpResponse)>;
    using Handler = std::function<void(HttpRequest, Respond)>;

    HttpServer(EventLoop &loop, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /**
     * Opens the port.
     * @param address "IP:PORT"
     * @return SettingsInvalid if the address can't be bound
     */
    Result<Done> listen(const std::string &address);

    /** Sets the limits of requests that start from now on. */
    void setLimits(const HttpServerLimits &limits);

    /** Asks clients to leave: from now on each response closes its connection. */
    void drain();

    /** Returns the open connections. */
    [[nodiscard]] std::size_t connections() const;

private:
    std::shared_ptr<internal::HttpListener> m_listener;
};

} // namespace dragonflysill
