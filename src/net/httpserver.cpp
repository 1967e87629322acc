#include "dragonflysill/net/httpserver.h"

#include "messagereader.h"
#include "tcplistener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <optional>
#include <string_view>
#include <utility>

namespace dragonflysill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

namespace internal {

using namespace std::chrono_literals;

/** Bytes that a session reads at once; enough for most requests. */
constexpr std::size_t readBytes = 2048;
/** Memory of an idle session besides its buffer; 1,200 idle connections took 4.5 KB each with it.
 */
constexpr std::size_t sessionBytes = 2560;
/** Bytes that the kernel keeps for a connection whose requests are not being read. */
constexpr std::size_t kernelBytes = 4 * socketBufferBytes;
/**
 * Copies of a body that are held until the response: the record and its encoding in the call to the
 * store. 16 submissions of 262,144 bytes at a time took 7 MB for as long as they were handled.
 */
constexpr std::size_t handledBodyCopies = 2;
/** Bodies up to this size are handled at once, whatever is being handled. */
constexpr std::size_t smallBodyBytes = 16384;
/** Part of the memory of a share that may be held by large bodies that are being handled. */
constexpr std::size_t handlingDivisor = 4;
/** Time after which the caller of a request that has not been handled has probably given up. */
constexpr Duration maxHandlingWait = 3s;
/**
 * Time for which the bytes after a last response are discarded. Closing a socket with unread bytes
 * resets the connection, and the response would be lost.
 */
constexpr Duration lingerTime = 1s;
/** Response to a request that is given up because the memory is used up. */
constexpr std::string_view refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
                                     "Connection: close\r\nContent-Length: 0\r\n\r\n";

class HttpSession;

/** The state of a server that its sessions share; they may outlive the server. */
struct HttpServerState
{
    /** Returns whether a request with a body that takes this memory may be handled now. */
    [[nodiscard]] bool mayHandle(std::size_t bytes) const
    {
        const auto limit = share->limits().bytes / handlingDivisor;
        return limit == 0 || bytes <= handledBodyCopies * smallBodyBytes || handledBytes == 0
               || (waiting.empty() && handledBytes + bytes <= limit);
    }

    /** Ends the handling of a body; the next request that waits for its memory follows. */
    void handled(std::size_t bytes);

    HttpServer::Handler handler;
    HttpServerLimits limits;
    std::shared_ptr<ConnectionShare> share = std::make_shared<ConnectionShare>();
    bool draining = false;
    bool closed = false;
    std::size_t sessions = 0;
    std::size_t handledBytes = 0; ///< Memory for the large bodies that are being handled.
    /** Sessions whose large request is complete and has not been handled. */
    std::deque<std::shared_ptr<HttpSession>> waiting;
    HttpTraffic traffic;
};

/** One connection from a client. */
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(Tcp::socket socket, std::shared_ptr<HttpServerState> server)
        : m_stream(std::move(socket))
        , m_server(std::move(server))
        , m_reader(messageLimits())
    {
        ++m_server->sessions;
        ++m_server->traffic.connectionsOpened;
    }

    ~HttpSession()
    {
        --m_server->sessions;
        endHandling();
        if (m_shareId)
            m_server->share->close(*m_shareId);
    }
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    void start()
    {
        m_shareId = m_server->share->open(sessionBytes + readBytes, EventLoop::now(),
                                          [self = weak_from_this()](CloseCause cause) {
                                              if (const auto session = self.lock())
                                                  session->shareUsedUp(cause);
                                          });
        if (m_shareId)
            readRequest();
    }

    /** Returns the memory for the body of the request while it is handled. */
    [[nodiscard]] std::size_t handledBytes() const
    {
        return handledBodyCopies * m_reader.bodyBytes();
    }

    /** Handles a request that has waited for memory, after the current handler. */
    void resumeLater()
    {
        m_waits = false;
        beginHandling();
        asio::post(m_stream.get_executor(), [self = shared_from_this()] { self->resume(); });
    }

private:
    [[nodiscard]] MessageLimits messageLimits() const
    {
        return {m_server->limits.headerBytes, m_server->limits.bodyBytes, readBytes};
    }

    /**
     * Reports what the session holds.
     * @param bytes memory besides that of the reader
     */
    void report(ConnectionPhase phase, std::size_t bytes = 0)
    {
        m_phase = phase;
        m_server->share->update(*m_shareId, phase, sessionBytes + m_reader.heldBytes() + bytes,
                                EventLoop::now());
    }

    void readRequest()
    {
        m_reader.start(messageLimits());
        const bool begun = m_reader.bufferedBytes() > 0;
        report(begun ? ConnectionPhase::Receiving : ConnectionPhase::Idle);
        m_stream.expires_after(begun ? m_server->limits.headerTimeout
                                     : m_server->limits.idleTimeout);
        if (m_refused)
            writeRefusal();
        else if (begun)
            parse(0);
        else
            receive();
    }

    void receive()
    {
        m_stream.async_read_some(m_reader.space(),
                                 [self = shared_from_this()](beast::error_code ec, std::size_t n) {
                                     self->m_server->traffic.bytesReceived += n;
                                     if (self->m_refused)
                                         self->writeRefusal();
                                     else if (ec)
                                         self->refuse(ec);
                                     else
                                         self->received(n);
                                 });
    }

    void received(std::size_t n)
    {
        // The time for the header begins with its first byte.
        if (m_phase == ConnectionPhase::Idle)
            m_stream.expires_after(m_server->limits.headerTimeout);
        parse(n);
    }

    void parse(std::size_t n)
    {
        const bool readingBody = m_reader.headerComplete();
        const auto ec = m_reader.parse(n);
        if (!ec) {
            handleInTurn();
            return;
        }
        if (ec != http::error::need_more) {
            refuse(ec);
            return;
        }
        if (!readingBody && m_reader.headerComplete())
            m_stream.expires_after(m_server->limits.bodyTimeout);
        report(ConnectionPhase::Receiving);
        if (m_refused)
            writeRefusal();
        else
            receive();
    }

    /** Handles the request, or lets it wait while large ones that are handled take the memory. */
    void handleInTurn()
    {
        m_stream.expires_never();
        if (m_server->mayHandle(handledBytes())) {
            handle();
            return;
        }
        report(ConnectionPhase::Receiving);
        if (m_refused) {
            writeRefusal();
            return;
        }
        m_waits = true;
        m_waitsSince = EventLoop::now();
        m_server->waiting.push_back(shared_from_this());
    }

    void resume()
    {
        if (m_refused) {
            endHandling();
            writeRefusal();
        } else if (EventLoop::now() - m_waitsSince < maxHandlingWait) {
            handle();
        } else {
            m_server->share->countClosed(CloseCause::Memory);
            m_reader.clearMessage();
            report(ConnectionPhase::Closing);
            endHandling();
            writeRefusal();
        }
    }

    void beginHandling()
    {
        if (m_handledBytes > 0 || handledBytes() <= handledBodyCopies * smallBodyBytes)
            return;
        m_handledBytes = handledBytes();
        m_server->handledBytes += m_handledBytes;
    }

    void endHandling()
    {
        if (m_handledBytes > 0)
            m_server->handled(std::exchange(m_handledBytes, 0));
    }

    void handle()
    {
        ++m_server->traffic.calls;
        if (m_server->closed) {
            // The server was destroyed, and with it possibly the objects that the handler uses.
            closeSocket();
            return;
        }
        beginHandling();
        auto message = m_reader.release();
        m_keepAlive = message.keep_alive();
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &it : message)
            request.headers.emplace_back(it.name_string(), it.value());
        request.body = std::move(message.body());
        report(ConnectionPhase::Handling,
               handledBodyCopies * request.body.capacity() + kernelBytes);
        auto answered = std::make_shared<bool>(false);
        const auto respond = [self = shared_from_this(), answered](HttpResponse response) {
            if (*answered)
                return;
            *answered = true;
            self->write(std::move(response));
        };
        try {
            m_server->handler(std::move(request), respond);
        } catch (const std::exception &) {
            // Only this request fails; the event loop reports the error.
            respond({500, {}, {}});
            throw;
        }
    }

    /** Responds to a malformed request with an error; closes the connection without a response
     * after a timeout or if the client closed it. */
    void refuse(const beast::error_code &ec)
    {
        const bool malformed
                = ec.category() == http::make_error_code(http::error::bad_method).category()
                  && ec != http::error::end_of_stream && ec != http::error::partial_message;
        if (!malformed) {
            if (ec == beast::error::timeout)
                m_server->share->countClosed(timeoutCause());
            beast::error_code ignored;
            m_stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
            return;
        }
        const bool tooLarge = ec == http::error::body_limit || ec == http::error::header_limit;
        m_server->share->countClosed(tooLarge ? CloseCause::TooLarge : CloseCause::Malformed);
        HttpResponse response;
        response.status = ec == http::error::body_limit     ? 413
                          : ec == http::error::header_limit ? 431
                                                            : 400;
        m_keepAlive = false;
        write(std::move(response));
    }

    [[nodiscard]] CloseCause timeoutCause() const
    {
        if (m_phase == ConnectionPhase::Idle)
            return CloseCause::IdleTimeout;
        return m_reader.headerComplete() ? CloseCause::BodyTimeout : CloseCause::HeaderTimeout;
    }

    /** Ends the connection because the memory or the connections of the server are used up. */
    void shareUsedUp(CloseCause cause)
    {
        if (cause == CloseCause::Memory && m_phase == ConnectionPhase::Receiving) {
            // The reading operation, which may be pending, still uses the buffer. The rest is freed
            // at once: many others may read before that operation ends.
            m_refused = true;
            m_reader.clearMessage();
            if (std::exchange(m_waits, false)) {
                const auto self = shared_from_this();
                std::erase(m_server->waiting, self);
                writeRefusal();
            } else {
                m_stream.cancel();
            }
            return;
        }
        if (m_phase == ConnectionPhase::Receiving) {
            // The descriptor is needed at once, so that the response may be lost. A request that
            // has been read must not run any more.
            m_refused = true;
            beast::error_code ignored;
            m_stream.socket().non_blocking(true, ignored);
            m_stream.socket().write_some(asio::buffer(refusal), ignored);
        }
        if (std::exchange(m_waits, false))
            std::erase(m_server->waiting, shared_from_this());
        closeSocket();
    }

    void closeSocket()
    {
        beast::error_code ignored;
        m_stream.socket().close(ignored);
    }

    /** Answers a request that has not been handled and is given up. */
    void writeRefusal()
    {
        m_reader.clear();
        m_phase = ConnectionPhase::Closing;
        m_stream.expires_after(lingerTime);
        asio::async_write(m_stream, asio::buffer(refusal),
                          [self = shared_from_this()](beast::error_code ec, std::size_t n) {
                              self->m_server->traffic.bytesSent += n;
                              if (!ec)
                                  self->linger();
                          });
    }

    void write(HttpResponse response)
    {
        m_response = {};
        m_response.version(11);
        m_response.result(static_cast<unsigned>(response.status));
        for (const auto &[name, value] : response.headers)
            m_response.set(name, value);
        if (!response.body.empty())
            m_response.set(http::field::content_type, "application/json");
        m_response.body() = std::move(response.body);
        m_response.keep_alive(m_keepAlive && !m_server->draining);
        m_response.prepare_payload();
        m_stream.expires_after(m_server->limits.responseTimeout);
        http::async_write(m_stream, m_response,
                          [self = shared_from_this()](beast::error_code ec, std::size_t n) {
                              self->m_server->traffic.bytesSent += n;
                              self->written(ec);
                          });
        report(ConnectionPhase::Sending, m_response.body().capacity() + kernelBytes);
        endHandling();
    }

    void written(const beast::error_code &ec)
    {
        if (ec == beast::error::timeout)
            m_server->share->countClosed(CloseCause::ResponseTimeout);
        if (ec)
            return;
        const bool keepAlive = m_response.keep_alive();
        m_response = {};
        if (keepAlive) {
            readRequest();
            return;
        }
        m_reader.clear();
        report(ConnectionPhase::Closing);
        m_stream.expires_after(lingerTime);
        linger();
    }

    /** Discards what the client sends until it closes the connection, for a limited time. */
    void linger()
    {
        if (!std::exchange(m_lingers, true)) {
            beast::error_code ignored;
            m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        }
        m_stream.async_read_some(asio::buffer(m_rest),
                                 [self = shared_from_this()](beast::error_code ec, std::size_t) {
                                     if (!ec)
                                         self->linger();
                                 });
    }

    beast::tcp_stream m_stream;
    std::shared_ptr<HttpServerState> m_server;
    MessageReader<true> m_reader;
    http::response<http::string_body> m_response;
    std::optional<ConnectionShare::Id> m_shareId;
    ConnectionPhase m_phase = ConnectionPhase::Idle;
    std::array<char, 512> m_rest{};
    bool m_keepAlive = false;
    bool m_refused = false; ///< The request that is being read is given up.
    bool m_lingers = false;
    std::size_t m_handledBytes = 0; ///< Memory for a large body that is being handled.
    bool m_waits = false; ///< The request is complete and waits for its turn.
    TimePoint m_waitsSince{};
};

void HttpServerState::handled(std::size_t bytes)
{
    handledBytes -= bytes;
    const auto limit = share->limits().bytes / handlingDivisor;
    while (!waiting.empty()
           && (handledBytes == 0 || handledBytes + waiting.front()->handledBytes() <= limit)) {
        const auto session = std::move(waiting.front());
        waiting.pop_front();
        session->resumeLater();
    }
}

} // namespace internal

HttpServer::HttpServer(EventLoop &loop, Handler handler)
    : m_state(std::make_shared<internal::HttpServerState>())
    , m_listener(
              std::make_shared<internal::TcpListener>(loop, [state = m_state](Tcp::socket socket) {
                  std::make_shared<internal::HttpSession>(std::move(socket), state)->start();
              }))
{
    m_state->handler = std::move(handler);
}

HttpServer::~HttpServer()
{
    m_state->closed = true;
    // They hold the state.
    m_state->waiting.clear();
    m_listener->close();
}

Result<Done> HttpServer::listen(const std::string &address)
{
    return m_listener->open(address, m_state->share->limits().bytes != 0);
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    m_state->limits = limits;
}

void HttpServer::setShare(std::shared_ptr<ConnectionShare> share)
{
    m_state->share = std::move(share);
}

void HttpServer::drain()
{
    m_state->draining = true;
}

std::size_t HttpServer::connections() const
{
    return m_state->sessions;
}

const HttpTraffic &HttpServer::traffic() const
{
    return m_state->traffic;
}

} // namespace dragonflysill
