#include "dragonflysill/net/frameconnection.h"

#include "address.h"
#include "dragonflysill/base/frame.h"
#include "tcplistener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <array>
#include <optional>
#include <utility>

namespace dragonflysill {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace internal {

/** Bytes that wait to be sent above which the peer counts as not reading. */
constexpr std::size_t maxQueuedBytes = 2 * maxPayloadBytes;
/** Bytes that a connection reads at once. */
constexpr std::size_t readBytes = 16384;

/** The socket of a FrameConnection; lives as long as an operation on it is pending. */
class FrameSocket : public std::enable_shared_from_this<FrameSocket>
{
public:
    explicit FrameSocket(EventLoop &loop)
        : m_socket(loop.context())
    {
    }

    FrameSocket(Tcp::socket socket, std::shared_ptr<ConnectionShare> share)
        : m_socket(std::move(socket))
        , m_share(std::move(share))
        , m_established(true)
    {
    }

    ~FrameSocket() { leaveShare(); }
    FrameSocket(const FrameSocket &) = delete;
    FrameSocket &operator=(const FrameSocket &) = delete;

    void connect(const std::string &address)
    {
        const auto endpoint = parseAddress(address);
        if (!endpoint) {
            asio::post(m_socket.get_executor(), [self = shared_from_this(), address] {
                self->fail("not an IP:PORT address: " + address);
            });
            return;
        }
        m_socket.async_connect(*endpoint,
                               [self = shared_from_this()](const boost::system::error_code &ec) {
                                   if (ec)
                                       self->fail(ec.message());
                                   else
                                       self->established();
                               });
    }

    void start(FrameConnection::Handlers handlers)
    {
        m_handlers = std::move(handlers);
        if (!m_established)
            return;
        if (m_share) {
            m_shareId = m_share->open(sizeof(FrameSocket), EventLoop::now(),
                                      [self = weak_from_this()](CloseCause cause) {
                                          if (const auto socket = self.lock())
                                              socket->shareUsedUp(cause);
                                      });
            if (!m_shareId) {
                failLater("too many connections");
                return;
            }
        }
        read();
    }

    void send(std::string_view payload)
    {
        if (m_closed)
            return;
        const auto frame = encodeFrame(payload);
        if (!frame) {
            failLater(frame.error().text());
            return;
        }
        m_queued += *frame;
        ++traffic.framesSent;
        if (m_queued.size() > maxQueuedBytes)
            failLater("the peer does not read");
        else
            write();
        report();
    }

    void close()
    {
        m_closed = true;
        // A handler may be running, so it is destroyed later.
        asio::post(m_socket.get_executor(), [handlers = std::exchange(m_handlers, {})] {});
        boost::system::error_code ignored;
        m_socket.close(ignored);
        leaveShare();
    }

    FrameTraffic traffic;

private:
    void established()
    {
        if (m_closed)
            return;
        m_established = true;
        boost::system::error_code ignored;
        m_socket.set_option(Tcp::no_delay(true), ignored);
        read();
        write();
    }

    void write()
    {
        if (!m_established || !m_writing.empty() || m_queued.empty())
            return;
        m_writing = std::exchange(m_queued, {});
        asio::async_write(
                m_socket, asio::buffer(m_writing),
                [self = shared_from_this()](const boost::system::error_code &ec, std::size_t n) {
                    self->traffic.bytesSent += n;
                    self->m_writing = {};
                    if (ec) {
                        self->fail(ec.message());
                        return;
                    }
                    self->write();
                    self->report();
                });
    }

    void read()
    {
        m_socket.async_read_some(
                asio::buffer(m_readBuffer),
                [self = shared_from_this()](const boost::system::error_code &ec, std::size_t n) {
                    if (ec)
                        self->fail(ec.message());
                    else
                        self->received(n);
                });
    }

    void received(std::size_t n)
    {
        traffic.bytesReceived += n;
        m_reader.append({m_readBuffer.data(), n});
        while (!m_closed) {
            const auto payload = m_reader.next();
            if (!payload) {
                fail(payload.error().text());
                return;
            }
            if (!payload->has_value())
                break;
            m_handlers.received(**payload);
        }
        report();
        if (!m_closed)
            read();
    }

    /** Reports to the share what the connection holds. */
    void report()
    {
        if (!m_shareId || m_closed)
            return;
        const bool busy = m_reader.hasIncompleteFrame() || !m_queued.empty() || !m_writing.empty();
        m_share->update(*m_shareId, busy ? ConnectionPhase::Receiving : ConnectionPhase::Idle,
                        sizeof(FrameSocket) + m_reader.heldBytes() + m_queued.capacity()
                                + m_writing.capacity(),
                        EventLoop::now());
    }

    void leaveShare()
    {
        if (m_shareId)
            m_share->close(*m_shareId);
        m_shareId.reset();
    }

    void shareUsedUp(CloseCause cause)
    {
        // The descriptor and the memory are needed at once; who uses the connection hears later.
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_reader = {};
        m_queued = {};
        failLater(std::string("closed for lack of ") + std::string(closeCauseName(cause)));
    }

    void failLater(const std::string &reason)
    {
        asio::post(m_socket.get_executor(),
                   [self = shared_from_this(), reason] { self->fail(reason); });
    }

    void fail(const std::string &reason)
    {
        if (m_closed)
            return;
        const auto closed = std::move(m_handlers.closed);
        close();
        if (closed)
            closed(reason);
    }

    Tcp::socket m_socket;
    FrameConnection::Handlers m_handlers;
    std::shared_ptr<ConnectionShare> m_share; ///< Null for no limits.
    std::optional<ConnectionShare::Id> m_shareId;
    FrameReader m_reader;
    std::array<char, readBytes> m_readBuffer{};
    std::string m_queued;
    std::string m_writing;
    bool m_established = false;
    bool m_closed = false;
};

} // namespace internal

FrameConnection::FrameConnection(EventLoop &loop, const std::string &address, Handlers handlers)
    : m_socket(std::make_shared<internal::FrameSocket>(loop))
{
    m_socket->start(std::move(handlers));
    m_socket->connect(address);
}

FrameConnection::FrameConnection(std::shared_ptr<internal::FrameSocket> socket, Handlers handlers)
    : m_socket(std::move(socket))
{
    m_socket->start(std::move(handlers));
}

FrameConnection::~FrameConnection()
{
    m_socket->close();
}

void FrameConnection::send(std::string_view payload)
{
    m_socket->send(payload);
}

const FrameTraffic &FrameConnection::traffic() const
{
    return m_socket->traffic;
}

FrameServer::FrameServer(EventLoop &loop, Accepted accepted)
    : m_listener(std::make_shared<internal::TcpListener>(
            loop, [this, accepted = std::move(accepted)](Tcp::socket socket) {
                accepted(std::make_shared<internal::FrameSocket>(std::move(socket), m_share));
            }))
{
}

FrameServer::~FrameServer()
{
    m_listener->close();
}

Result<Done> FrameServer::listen(const std::string &address)
{
    return m_listener->open(address, m_share != nullptr);
}

} // namespace dragonflysill
