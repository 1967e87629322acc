#include "dragonflysill/net/httpclient.h"

#include "address.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <optional>

namespace dragonflysill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

namespace internal {

/** Maximum size of a response body in bytes; enough for an encoded page of the store's items. */
constexpr std::uint64_t maxResponseBytes = 8U << 20U;

/** One connection with at most one call in flight. */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(HttpClient &client, std::shared_ptr<bool> alive, EventLoop &loop,
                   std::string address)
        : m_client(client)
        , m_alive(std::move(alive))
        , m_stream(loop.context())
        , m_address(std::move(address))
    {
    }

    void connectAndSend(const Tcp::endpoint &endpoint, HttpRequest request, Duration timeout,
                        HttpClient::Callback callback)
    {
        prepare(std::move(request), timeout, std::move(callback));
        m_stream.async_connect(endpoint, [self = shared_from_this()](beast::error_code ec) {
            if (ec) {
                self->fail(ErrorKind::Unreachable, ec);
                return;
            }
            beast::error_code ignored;
            self->m_stream.socket().set_option(Tcp::no_delay(true), ignored);
            self->write();
        });
    }

    void send(HttpRequest request, Duration timeout, HttpClient::Callback callback)
    {
        prepare(std::move(request), timeout, std::move(callback));
        write();
    }

    void close()
    {
        beast::error_code ignored;
        m_stream.socket().close(ignored);
    }

    /** Returns whether the peer has neither closed the connection nor sent unexpected bytes. */
    bool isUsable()
    {
        char byte = 0;
        const auto n = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

private:
    void prepare(HttpRequest request, Duration timeout, HttpClient::Callback callback)
    {
        m_callback = std::move(callback);
        m_calledAt = EventLoop::now();
        ++m_client.m_traffic.calls;
        m_request = {};
        m_request.method_string(request.method);
        m_request.target(request.target);
        m_request.version(11);
        m_request.set(http::field::host, m_address);
        for (auto &[name, value] : request.headers)
            m_request.set(name, value);
        m_request.body() = std::move(request.body);
        if (!m_request.body().empty() || request.method == "POST")
            m_request.set(http::field::content_type, "application/json");
        m_request.prepare_payload();
        m_parser.emplace();
        m_parser->body_limit(maxResponseBytes);
        m_stream.expires_after(timeout);
    }

    void write()
    {
        http::async_write(m_stream, m_request,
                          [self = shared_from_this()](beast::error_code ec, std::size_t n) {
                              self->written(n);
                              if (ec)
                                  self->fail(ErrorKind::OutcomeUnknown, ec);
                              else
                                  self->read();
                          });
    }

    void read()
    {
        http::async_read(m_stream, m_buffer, *m_parser,
                         [self = shared_from_this()](beast::error_code ec, std::size_t n) {
                             if (*self->m_alive)
                                 self->m_client.m_traffic.bytesReceived += n;
                             if (ec)
                                 self->fail(ErrorKind::OutcomeUnknown, ec);
                             else
                                 self->finish();
                         });
    }

    void written(std::size_t n)
    {
        if (!*m_alive)
            return;
        m_client.m_traffic.bytesSent += n;
        m_client.m_traffic.sendDelay.observe(EventLoop::now() - m_calledAt);
    }

    void finish()
    {
        m_stream.expires_never();
        auto message = m_parser->release();
        HttpResponse response;
        response.status = static_cast<int>(message.result_int());
        for (const auto &it : message)
            response.headers.emplace_back(it.name_string(), it.value());
        response.body = std::move(message.body());
        const bool keep = message.keep_alive();
        auto callback = std::move(m_callback);
        if (*m_alive && keep)
            m_client.keepIdle(m_address, shared_from_this());
        else
            close();
        callback(std::move(response));
    }

    void fail(ErrorKind kind, const beast::error_code &ec)
    {
        close();
        if (*m_alive && ec == beast::error::timeout) {
            ++m_client.m_traffic.timeouts;
            m_client.closeIdle(m_address);
        }
        auto callback = std::move(m_callback);
        callback(Error(kind, m_address + ": " + ec.message()));
    }

    HttpClient &m_client;
    std::shared_ptr<bool> m_alive;
    beast::tcp_stream m_stream;
    std::string m_address;
    http::request<http::string_body> m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
    beast::flat_buffer m_buffer;
    HttpClient::Callback m_callback;
    TimePoint m_calledAt{};
};

} // namespace internal

HttpClient::HttpClient(EventLoop &loop)
    : m_loop(loop)
{
}

HttpClient::~HttpClient()
{
    *m_alive = false;
}

void HttpClient::call(const std::string &address, HttpRequest request, Duration timeout,
                      Callback callback)
{
    auto &idle = m_idle[address];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (!connection->isUsable()) {
            connection->close();
            continue;
        }
        connection->send(std::move(request), timeout, std::move(callback));
        return;
    }
    const auto endpoint = internal::parseAddress(address);
    if (!endpoint) {
        m_loop.post([callback = std::move(callback), address] {
            callback(Error(ErrorKind::Unreachable, "not an IP:PORT address: " + address));
        });
        return;
    }
    ++m_traffic.connectionsOpened;
    auto connection = std::make_shared<internal::HttpConnection>(*this, m_alive, m_loop, address);
    connection->connectAndSend(*endpoint, std::move(request), timeout, std::move(callback));
}

void HttpClient::closeIdle(const std::string &address)
{
    const auto it = m_idle.find(address);
    if (it == m_idle.end())
        return;
    for (const auto &connection : it->second)
        connection->close();
    m_idle.erase(it);
}

void HttpClient::keepIdle(const std::string &address,
                          std::shared_ptr<internal::HttpConnection> connection)
{
    m_idle[address].push_back(std::move(connection));
}

} // namespace dragonflysill
