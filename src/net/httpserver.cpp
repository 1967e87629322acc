#include "dragonflysill/net/httpserver.h"

#include "address.h"

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

/** Maximum number of connections that wait to be accepted while the process is busy. */
constexpr int listenBacklog = 1024;

/** Bytes that a session reads at once; enough for most requests. */
constexpr std::size_t readBytes = 2048;

/** Accepts connections and holds the state that its sessions share. */
class HttpListener : public std::enable_shared_from_this<HttpListener>
{
public:
    HttpListener(EventLoop &loop, HttpServer::Handler requestHandler)
        : handler(std::move(requestHandler))
        , m_loop(loop)
        , m_acceptor(loop.context())
    {
    }

    Result<Done> open(const std::string &address);
    void accept();
    void close()
    {
        closed = true;
        beast::error_code ignored;
        m_acceptor.close(ignored);
    }

    HttpServer::Handler handler;
    HttpServerLimits limits;
    bool draining = false;
    bool closed = false;
    std::size_t sessions = 0;
    HttpTraffic traffic;

private:
    EventLoop &m_loop;
    Tcp::acceptor m_acceptor;
};

/** One connection from a client. */
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(Tcp::socket socket, std::shared_ptr<HttpListener> listener)
        : m_stream(std::move(socket))
        , m_listener(std::move(listener))
    {
        ++m_listener->sessions;
        ++m_listener->traffic.connectionsOpened;
        // The parser empties the buffer after each read, so that it would never grow by itself.
        m_buffer.reserve(readBytes);
    }

    ~HttpSession() { --m_listener->sessions; }
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    void readRequest()
    {
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_listener->limits.headerBytes));
        m_parser->body_limit(m_listener->limits.bodyBytes);
        m_stream.expires_after(m_listener->limits.idleTimeout);
        http::async_read_header(m_stream, m_buffer, *m_parser,
                                [self = shared_from_this()](beast::error_code ec, std::size_t n) {
                                    self->m_listener->traffic.bytesReceived += n;
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
        m_stream.expires_after(m_listener->limits.requestTimeout);
        http::async_read(m_stream, m_buffer, *m_parser,
                         [self = shared_from_this()](beast::error_code ec, std::size_t n) {
                             self->m_listener->traffic.bytesReceived += n;
                             if (ec)
                                 self->refuse(ec);
                             else
                                 self->handle();
                         });
    }

    void handle()
    {
        m_stream.expires_never();
        ++m_listener->traffic.calls;
        if (m_listener->closed) {
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
        m_listener->handler(std::move(request),
                            [self = shared_from_this(), answered](HttpResponse response) {
                                if (*answered)
                                    return;
                                *answered = true;
                                self->write(std::move(response));
                            });
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
        m_response.keep_alive(m_keepAlive && !m_listener->draining);
        m_response.prepare_payload();
        m_stream.expires_after(m_listener->limits.requestTimeout);
        http::async_write(m_stream, m_response,
                          [self = shared_from_this()](beast::error_code ec, std::size_t n) {
                              self->m_listener->traffic.bytesSent += n;
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
    std::shared_ptr<HttpListener> m_listener;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    std::array<char, 512> m_rest{};
    bool m_keepAlive = false;
};

Result<Done> HttpListener::open(const std::string &address)
{
    const auto endpoint = parseAddress(address);
    if (!endpoint)
        return Error(ErrorKind::SettingsInvalid, "not an IP:PORT address: " + address);
    boost::system::error_code ec;
    m_acceptor.open(endpoint->protocol(), ec);
    if (!ec)
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(*endpoint, ec);
    if (!ec)
        m_acceptor.listen(listenBacklog, ec);
    if (ec)
        return Error(ErrorKind::SettingsInvalid, address + ": " + ec.message());
    accept();
    return Done();
}

void HttpListener::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](beast::error_code ec, Tcp::socket socket) {
        if (self->closed)
            return;
        if (ec) {
            // No file descriptors are left: wait until other connections have been closed.
            self->m_loop.after(std::chrono::milliseconds(50), [self] { self->accept(); });
            return;
        }
        beast::error_code ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        std::make_shared<HttpSession>(std::move(socket), self)->readRequest();
        self->accept();
    });
}

} // namespace internal

HttpServer::HttpServer(EventLoop &loop, Handler handler)
    : m_listener(std::make_shared<internal::HttpListener>(loop, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    m_listener->close();
}

Result<Done> HttpServer::listen(const std::string &address)
{
    return m_listener->open(address);
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    m_listener->limits = limits;
}

void HttpServer::drain()
{
    m_listener->draining = true;
}

std::size_t HttpServer::connections() const
{
    return m_listener->sessions;
}

const HttpTraffic &HttpServer::traffic() const
{
    return m_listener->traffic;
}

} // namespace dragonflysill
