#include "dragonflysill/net/httpserver.h"

#include "tcplistener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace dragonflysill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

namespace internal {

/** Bytes that a session reads at once; enough for most requests. */
constexpr std::size_t readBytes = 2048;

/** The state of a server that its sessions share; they may outlive the server. */
struct HttpServerState
{
    HttpServer::Handler handler;
    HttpServerLimits limits;
    bool draining = false;
    bool closed = false;
    std::size_t sessions = 0;
    HttpTraffic traffic;
};

/** One connection from a client. */
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(Tcp::socket socket, std::shared_ptr<HttpServerState> server)
        : m_stream(std::move(socket))
        , m_server(std::move(server))
    {
        ++m_server->sessions;
        ++m_server->traffic.connectionsOpened;
        // The parser empties the buffer after each read, so that it would never grow by itself.
        m_buffer.reserve(readBytes);
    }

    ~HttpSession() { --m_server->sessions; }
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    void readRequest()
    {
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_server->limits.headerBytes));
        m_parser->body_limit(m_server->limits.bodyBytes);
        m_stream.expires_after(m_server->limits.idleTimeout);
        http::async_read_header(m_stream, m_buffer, *m_parser,
                                [self = shared_from_this()](beast::error_code ec, std::size_t n) {
                                    self->m_server->traffic.bytesReceived += n;
                                    if (ec)
                                        self->refuse(ec);
                                    else
                                        self->readBody();
                                });
    }

private:
    void readBody()
    {
        if (m_parser->is_done()) {
            handle();
            return;
        }
        m_stream.expires_after(m_server->limits.requestTimeout);
        http::async_read(m_stream, m_buffer, *m_parser,
                         [self = shared_from_this()](beast::error_code ec, std::size_t n) {
                             self->m_server->traffic.bytesReceived += n;
                             if (ec)
                                 self->refuse(ec);
                             else
                                 self->handle();
                         });
    }

    void handle()
    {
        m_stream.expires_never();
        ++m_server->traffic.calls;
        if (m_server->closed) {
            // The server was destroyed, and with it possibly the objects that the handler uses.
            beast::error_code ignored;
            m_stream.socket().close(ignored);
            return;
        }
        auto message = m_parser->release();
        m_keepAlive = message.keep_alive();
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &it : message)
            request.headers.emplace_back(it.name_string(), it.value());
        request.body = std::move(message.body());
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
            beast::error_code ignored;
            m_stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
            return;
        }
        HttpResponse response;
        response.status = ec == http::error::body_limit     ? 413
                          : ec == http::error::header_limit ? 431
                                                            : 400;
        m_keepAlive = false;
        write(std::move(response));
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
        m_stream.expires_after(m_server->limits.requestTimeout);
        http::async_write(m_stream, m_response,
                          [self = shared_from_this()](beast::error_code ec, std::size_t n) {
                              self->m_server->traffic.bytesSent += n;
                              self->written(ec);
                          });
    }

    void written(const beast::error_code &ec)
    {
        if (ec)
            return;
        if (m_response.keep_alive()) {
            readRequest();
            return;
        }
        // Closing a socket with unread bytes resets the connection, and the response would be lost.
        beast::error_code ignored;
        m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        m_stream.expires_after(std::chrono::seconds(1));
        m_stream.async_read_some(asio::buffer(m_rest),
                                 [self = shared_from_this()](beast::error_code, std::size_t) {});
    }

    beast::tcp_stream m_stream;
    std::shared_ptr<HttpServerState> m_server;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    std::array<char, 512> m_rest{};
    bool m_keepAlive = false;
};

} // namespace internal

HttpServer::HttpServer(EventLoop &loop, Handler handler)
    : m_state(std::make_shared<internal::HttpServerState>())
    , m_listener(
              std::make_shared<internal::TcpListener>(loop, [state = m_state](Tcp::socket socket) {
                  std::make_shared<internal::HttpSession>(std::move(socket), state)->readRequest();
              }))
{
    m_state->handler = std::move(handler);
}

HttpServer::~HttpServer()
{
    m_state->closed = true;
    m_listener->close();
}

Result<Done> HttpServer::listen(const std::string &address)
{
    return m_listener->open(address);
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    m_state->limits = limits;
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
