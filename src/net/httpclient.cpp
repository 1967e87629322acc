#include "dragonflysill/net/httpclient.h"

#include "address.h"
#include "messagereader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace dragonflysill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

namespace internal {

/** Maximum size of the header of a response in bytes. */
constexpr std::size_t maxResponseHeaderBytes = 8192;
/** Idle time up to which a connection is reused without a check that its peer has not closed it. */
constexpr std::chrono::milliseconds uncheckedIdleTime{100};
/** Maximum interval between two searches for connections that have been idle for too long. */
constexpr std::chrono::milliseconds maxUnusedCheckInterval{1000};
/** Timeouts are rounded up to it for the kernel, so that the option of a socket rarely changes. */
constexpr std::chrono::milliseconds kernelTimeoutStep{250};
/** The kernel's buffer for a response, in reads; by default it takes up to 32 MB. */
constexpr int receiveBufferReads = 4;
/** HTTP status of a question that was answered. */
constexpr int successStatus = 200;

/** One connection with at most one call in flight. */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(HttpClient &client, std::shared_ptr<bool> alive, EventLoop &loop,
                   std::string address, const HttpClientLimits &limits)
        : m_client(client)
        , m_alive(std::move(alive))
        , m_stream(loop.context())
        , m_address(std::move(address))
        , m_limits{maxResponseHeaderBytes, limits.responseBytes, limits.readBytes}
        , m_reader(m_limits)
        , m_share(limits.share)
    {
    }

    ~HttpConnection()
    {
        if (m_shareId)
            m_share->close(*m_shareId);
    }
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /** Takes a place in the share of the client; returns whether there was one. */
    bool enterShare()
    {
        m_shareId = m_share->open(sizeof(HttpConnection) + m_reader.heldBytes(), EventLoop::now(),
                                  [self = weak_from_this()](CloseCause cause) {
                                      if (const auto connection = self.lock())
                                          connection->shareUsedUp(cause);
                                  });
        return m_shareId.has_value();
    }

    void connectAndSend(const Tcp::endpoint &endpoint, HttpClient::Call call)
    {
        prepare(std::move(call));
        beast::error_code ignored;
        m_stream.socket().open(endpoint.protocol(), ignored);
        m_stream.socket().set_option(asio::socket_base::receive_buffer_size(
                                             receiveBufferReads * static_cast<int>(m_limits.read)),
                                     ignored);
        m_stream.async_connect(endpoint, [self = shared_from_this()](beast::error_code ec) {
            if (ec) {
                self->fail(ErrorKind::Unreachable, ec);
                return;
            }
            beast::error_code ignored;
            self->m_stream.socket().set_option(Tcp::no_delay(true), ignored);
            self->setResetOnClose(true);
            self->m_connectedAt = EventLoop::now();
            self->writeIfWanted();
        });
    }

    void send(HttpClient::Call call)
    {
        prepare(std::move(call));
        write();
    }

    /** Returns the process that has answered; 0 if none has said who it is. */
    [[nodiscard]] std::int64_t process() const { return m_process; }

    /** Closes the connection, which no call uses. */
    void close()
    {
        setResetOnClose(false);
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
    void prepare(HttpClient::Call call)
    {
        m_call = std::move(call);
        m_calledAt = EventLoop::now();
        ++m_client.m_traffic.calls;
        const auto &peer = m_call.peer;
        m_asking = peer && peer->process != 0 && peer->process != m_process;
        m_client.m_traffic.questions += static_cast<std::uint64_t>(m_asking);
        setRequest(m_asking ? peer->question : std::exchange(m_call.request, {}));
        report(ConnectionPhase::Handling);
        m_timeout = m_call.deadline - m_calledAt;
        m_stream.expires_after(m_timeout);
    }

    void setRequest(HttpRequest request)
    {
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
        m_reader.start(m_limits);
    }

    /** Sends the request that had to wait for the connection or for the answer to a question. */
    void writeIfWanted()
    {
        // A process that was paused meanwhile handles the event before the timeout.
        if (EventLoop::now() >= m_call.deadline)
            withholdRequest("no time left to send the request", true);
        else if (!*m_alive || (m_call.wanted && !m_call.wanted()))
            withholdRequest("withdrawn", true);
        else
            write();
    }

    /**
     * Sets whether closing the socket discards the bytes that the peer has not received. The kernel
     * would go on sending a request that was given up, and deliver it when a partition heals. The
     * stream closes the socket itself on a timeout, and the kernel that of a killed process.
     */
    void setResetOnClose(bool reset)
    {
        beast::error_code ignored;
        m_stream.socket().set_option(asio::socket_base::linger(reset, 0), ignored);
    }

    /** Makes the kernel discard the request after the timeout, also while the process is paused. */
    void setKernelTimeout()
    {
        const auto steps = (m_timeout + kernelTimeoutStep - Duration{1}) / kernelTimeoutStep;
        const auto timeout = std::max<std::int64_t>(steps, 1) * kernelTimeoutStep;
        if (timeout == std::exchange(m_kernelTimeout, timeout))
            return;
        const auto limit = static_cast<unsigned int>(timeout.count());
        ::setsockopt(m_stream.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit,
                     sizeof(limit));
    }

    void write()
    {
        m_writtenAt = EventLoop::now();
        setKernelTimeout();
        http::async_write(m_stream, m_request,
                          [self = shared_from_this()](beast::error_code ec, std::size_t n) {
                              self->written(n);
                              // It is never sent again.
                              self->m_request = {};
                              if (ec)
                                  self->fail(ErrorKind::OutcomeUnknown, ec);
                              else
                                  self->read();
                          });
    }

    void read()
    {
        m_stream.async_read_some(m_reader.space(),
                                 [self = shared_from_this()](beast::error_code ec, std::size_t n) {
                                     if (*self->m_alive)
                                         self->m_client.m_traffic.bytesReceived += n;
                                     self->received(ec, n);
                                 });
    }

    void received(beast::error_code ec, std::size_t n)
    {
        if (m_refused)
            ec = asio::error::operation_aborted;
        else if (!ec)
            ec = m_reader.parse(n);
        else if (ec == asio::error::eof)
            ec = m_reader.end();
        if (!ec) {
            finish();
            return;
        }
        if (ec != http::error::need_more) {
            if (ec == http::error::body_limit || ec == http::error::header_limit)
                m_share->countClosed(CloseCause::TooLarge);
            fail(ErrorKind::OutcomeUnknown, ec);
            return;
        }
        report(ConnectionPhase::Receiving);
        if (m_refused)
            fail(ErrorKind::OutcomeUnknown, asio::error::operation_aborted);
        else
            read();
    }

    /** Reports to the share what the connection holds of responses; requests are the caller's. */
    void report(ConnectionPhase phase)
    {
        m_share->update(*m_shareId, phase, sizeof(HttpConnection) + m_reader.heldBytes(),
                        EventLoop::now());
    }

    /** Ends the connection because the memory or the connections of the client are used up. */
    void shareUsedUp(CloseCause /*cause*/)
    {
        if (m_call.callback) {
            // The pending operation fails, and with it the call.
            m_refused = true;
            m_reader.clearMessage();
            beast::error_code ignored;
            m_stream.socket().close(ignored);
        } else if (*m_alive) {
            m_client.closeIdle(m_address, this);
        }
    }

    void written(std::size_t n)
    {
        if (!*m_alive)
            return;
        m_client.m_traffic.bytesSent += n;
        if (!m_asking)
            m_client.m_traffic.sendDelay.observe(EventLoop::now() - m_calledAt);
    }

    void finish()
    {
        auto message = m_reader.release();
        HttpResponse response;
        response.status = static_cast<int>(message.result_int());
        for (const auto &it : message)
            response.headers.emplace_back(it.name_string(), it.value());
        response.body = std::move(message.body());
        response.connection
                = {m_writtenAt - m_connectedAt, m_answers++, EventLoop::now() - m_writtenAt};
        // Bytes after the response would be taken for the next one.
        const bool keep = message.keep_alive() && m_reader.bufferedBytes() == 0;
        if (m_call.peer && (m_asking || m_process == 0))
            m_process = m_call.peer->processOf(response);
        response.answersQuestion = std::exchange(m_asking, false);
        if (response.answersQuestion && response.status == successStatus
            && m_process == m_call.peer->process) {
            setRequest(std::exchange(m_call.request, {}));
            report(ConnectionPhase::Handling);
            if (keep)
                writeIfWanted();
            else
                withholdRequest("the connection ends with the answer to the question", false);
            return;
        }
        m_stream.expires_never();
        auto callback = takeCallback();
        m_reader.start(m_limits);
        report(ConnectionPhase::Idle);
        if (!keep || !*m_alive)
            close();
        if (*m_alive)
            m_client.callEnded(m_address, keep ? shared_from_this() : nullptr);
        callback(std::move(response));
    }

    /**
     * Ends the call without sending its request.
     * @param keep whether other calls can use the connection
     */
    void withholdRequest(const std::string &reason, bool keep)
    {
        m_stream.expires_never();
        auto callback = takeCallback();
        m_request = {};
        report(ConnectionPhase::Idle);
        if (!keep || !*m_alive)
            close();
        if (*m_alive)
            m_client.callEnded(m_address, keep ? shared_from_this() : nullptr);
        callback(Error(ErrorKind::Unreachable, m_address + ": " + reason));
    }

    void fail(ErrorKind kind, const beast::error_code &ec)
    {
        beast::error_code ignored;
        m_stream.socket().close(ignored);
        if (*m_alive) {
            m_client.m_traffic.timeouts += static_cast<std::uint64_t>(ec == beast::error::timeout);
            // The peer may have ended without closing the other connections either.
            m_client.closeIdle(m_address);
            m_client.callEnded(m_address, nullptr);
        }
        if (m_asking)
            kind = ErrorKind::Unreachable;
        takeCallback()(Error(kind, m_address + ": " + ec.message()));
    }

    /** Ends the call; what it holds is released with it. */
    HttpClient::Callback takeCallback() { return std::exchange(m_call, {}).callback; }

    HttpClient &m_client;
    std::shared_ptr<bool> m_alive;
    beast::tcp_stream m_stream;
    std::string m_address;
    http::request<http::string_body> m_request;
    MessageLimits m_limits;
    MessageReader<false> m_reader;
    std::shared_ptr<ConnectionShare> m_share;
    std::optional<ConnectionShare::Id> m_shareId;
    bool m_refused = false; ///< The share is used up and the call is given up.
    HttpClient::Call m_call;
    bool m_asking = false; ///< The question of the call is in flight, not its request.
    std::int64_t m_process = 0; ///< See process().
    TimePoint m_connectedAt{};
    std::uint64_t m_answers = 0; ///< Responses so far.
    TimePoint m_calledAt{};
    TimePoint m_writtenAt{};
    Duration m_timeout{0};
    std::chrono::milliseconds m_kernelTimeout{0};
};

} // namespace internal

HttpClient::HttpClient(EventLoop &loop, HttpClientLimits limits)
    : m_loop(loop)
    , m_limits(limits)
{
}

HttpClient::~HttpClient()
{
    *m_alive = false;
}

void HttpClient::call(const std::string &address, HttpRequest request, Duration timeout,
                      Callback callback, Wanted wanted, std::optional<IntendedPeer> peer)
{
    const auto now = EventLoop::now();
    Call call{std::move(request), now, now + timeout, std::move(callback), std::move(wanted),
              std::move(peer)};
    auto &known = m_peers[address];
    const bool full
            = m_limits.callsPerAddress != 0 && known.callsInFlight >= m_limits.callsPerAddress;
    if (full || !known.waiting.empty())
        known.waiting.push_back(std::move(call));
    else
        send(address, known, std::move(call));
}

void HttpClient::send(const std::string &address, Peer &peer, Call call)
{
    const auto checkedSince = EventLoop::now() - internal::uncheckedIdleTime;
    const auto process = call.peer ? call.peer->process : 0;
    while (auto idle = takeIdle(peer, process)) {
        if (idle->since <= checkedSince && !idle->connection->isUsable()) {
            idle->connection->close();
            continue;
        }
        ++peer.callsInFlight;
        idle->connection->send(std::move(call));
        return;
    }
    const auto endpoint = internal::parseAddress(address);
    if (!endpoint) {
        failLater(std::move(call.callback), "not an IP:PORT address: " + address);
        return;
    }
    auto connection
            = std::make_shared<internal::HttpConnection>(*this, m_alive, m_loop, address, m_limits);
    if (!connection->enterShare()) {
        failLater(std::move(call.callback), address + ": no connection is left");
        return;
    }
    ++m_traffic.connectionsOpened;
    ++peer.callsInFlight;
    connection->connectAndSend(*endpoint, std::move(call));
}

std::optional<HttpClient::IdleConnection> HttpClient::takeIdle(Peer &peer, std::int64_t process)
{
    if (peer.idle.empty())
        return std::nullopt;
    // The last one, in use a moment ago, is the least likely to have been closed by its peer.
    auto it = std::prev(peer.idle.end());
    if (process != 0) {
        const auto found
                = std::find_if(peer.idle.rbegin(), peer.idle.rend(), [process](const auto &idle) {
                      return idle.connection->process() == process;
                  });
        if (found != peer.idle.rend())
            it = std::prev(found.base());
    }
    auto idle = std::move(*it);
    peer.idle.erase(it);
    return idle;
}

void HttpClient::failLater(Callback callback, std::string detail)
{
    m_loop.post([callback = std::move(callback), detail = std::move(detail)] {
        callback(Error(ErrorKind::Unreachable, detail));
    });
}

void HttpClient::callEnded(const std::string &address,
                           std::shared_ptr<internal::HttpConnection> connection)
{
    auto &peer = m_peers[address];
    --peer.callsInFlight;
    if (connection) {
        peer.idle.push_back({std::move(connection), EventLoop::now()});
        if (!std::exchange(m_closingUnused, true))
            closeUnusedLater();
    }
    if (peer.waiting.empty())
        return;
    // The callback of the call that ended may withdraw the next one.
    m_loop.post([this, alive = m_alive, address] {
        if (*alive)
            sendWaiting(address);
    });
}

void HttpClient::sendWaiting(const std::string &address)
{
    const auto now = EventLoop::now();
    auto &peer = m_peers[address];
    while (!peer.waiting.empty() && peer.callsInFlight < m_limits.callsPerAddress) {
        auto next = std::move(peer.waiting.front());
        peer.waiting.pop_front();
        if (now >= next.deadline || now - next.since > m_limits.maxWait) {
            ++m_traffic.timeouts;
            failLater(std::move(next.callback), address + ": earlier calls were not answered");
            continue;
        }
        if (next.wanted && !next.wanted()) {
            failLater(std::move(next.callback), address + ": withdrawn");
            continue;
        }
        send(address, peer, std::move(next));
    }
}

void HttpClient::closeIdle(const std::string &address, const internal::HttpConnection *connection)
{
    const auto it = m_peers.find(address);
    if (it == m_peers.end())
        return;
    const auto found = std::ranges::find_if(it->second.idle, [connection](const auto &it) {
        return it.connection.get() == connection;
    });
    if (found == it->second.idle.end())
        return;
    found->connection->close();
    it->second.idle.erase(found);
}

void HttpClient::closeIdle(const std::string &address)
{
    const auto it = m_peers.find(address);
    if (it == m_peers.end())
        return;
    for (const auto &idle : it->second.idle)
        idle.connection->close();
    it->second.idle.clear();
}

void HttpClient::closeUnused()
{
    const auto since = EventLoop::now() - m_limits.maxIdleTime;
    bool anyIdle = false;
    for (auto &[address, peer] : m_peers) {
        const auto firstUsed = std::ranges::find_if(
                peer.idle, [since](const IdleConnection &it) { return it.since > since; });
        for (auto it = peer.idle.begin(); it != firstUsed; ++it)
            it->connection->close();
        peer.idle.erase(peer.idle.begin(), firstUsed);
        anyIdle = anyIdle || !peer.idle.empty();
    }
    std::erase_if(m_peers, [](const auto &it) {
        return it.second.idle.empty() && it.second.callsInFlight == 0 && it.second.waiting.empty();
    });
    m_closingUnused = anyIdle;
    if (anyIdle)
        closeUnusedLater();
}

void HttpClient::closeUnusedLater()
{
    m_loop.after(std::min(m_limits.maxIdleTime, internal::maxUnusedCheckInterval),
                 [this, alive = m_alive] {
                     if (*alive)
                         closeUnused();
                 });
}

} // namespace dragonflysill
