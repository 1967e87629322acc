#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/net/connectionshare.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/net/httpmessage.h"
#include "dragonflysill/net/httptraffic.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace dragonflysill {

namespace internal {
struct HttpServerState;
class TcpListener;
} // namespace internal

/** Limits of an HttpServer on the requests of its clients. */
struct HttpServerLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 262144;
    std::chrono::milliseconds idleTimeout{15000}; ///< Between two requests on a connection.
    std::chrono::milliseconds headerTimeout{3000}; ///< From the first byte of a header to its last.
    /** For a body after its header: 64 of the maximum size take 13.4 s on one link of 10 Mbit/s. */
    std::chrono::milliseconds bodyTimeout{20000};
    std::chrono::milliseconds responseTimeout{10000}; ///< In which a client must read a response.
};

/**
 * HTTP/1.1 server on the event loop. The requests of a connection are handled in order, and the
 * handler may respond asynchronously. Malformed requests, including requests with ambiguous
 * framing, are answered with 400 and the connection is closed.
 */
class HttpServer
{
public:
    /** Sends the response to a request; calls after the first are ignored. */
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

    /** Sets the limits for requests that start after this call. */
    void setLimits(const HttpServerLimits &limits);

    /**
     * Sets the share that limits the memory and the number of the connections; there are no limits
     * without it. Call it before listen().
     */
    void setShare(std::shared_ptr<ConnectionShare> share);

    /** Starts draining: every further response closes its connection. */
    void drain();

    /** Returns the number of open connections. */
    [[nodiscard]] std::size_t connections() const;

    [[nodiscard]] const HttpTraffic &traffic() const;

private:
    std::shared_ptr<internal::HttpServerState> m_state;
    std::shared_ptr<internal::TcpListener> m_listener;
};

} // namespace dragonflysill
