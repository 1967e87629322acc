#include "dragonflysill/wire/messageloop.h"

#include "dragonflysill/base/frame.h"
#include "dragonflysill/wire/codec.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace dragonflysill {

namespace internal {

/** Limit of unsent bytes per connection; fits the largest full view plus later changes. */
constexpr std::size_t maxUnsentBytes = std::size_t{24} * 1024 * 1024;
/** Limit for opening a connection; loopback and in-region networks need milliseconds. */
constexpr std::chrono::milliseconds connectTimeout{500};
/** Limit for sending the queued frames in stop(). */
constexpr std::chrono::milliseconds flushTimeout{200};
/**
 * A connection whose sent data is not acknowledged for this time is closed. With the kernel's
 * default of 15 minutes, a dead connection would stay in use although a new one would work.
 */
constexpr std::chrono::milliseconds unacknowledgedDataTimeout{2000};
constexpr std::size_t readBufferBytes = 65536;
constexpr int listenBacklog = 256;

std::optional<sockaddr_in> parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1)
        return std::nullopt;
    return address;
}

void setSocketOptions(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto limit = static_cast<unsigned>(unacknowledgedDataTimeout.count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

/** Owns a file descriptor. */
class FileDescriptor
{
public:
    explicit FileDescriptor(int fd = -1)
        : m_fd(fd)
    {
    }
    FileDescriptor(FileDescriptor &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    FileDescriptor &operator=(FileDescriptor &&other) noexcept
    {
        std::swap(m_fd, other.m_fd);
        return *this;
    }
    ~FileDescriptor()
    {
        if (m_fd >= 0)
            ::close(m_fd);
    }

    [[nodiscard]] int get() const { return m_fd; }

private:
    int m_fd;
};

/** A connection with its partly received input and its queued output. */
struct Connection
{
    FileDescriptor socket;
    bool open = false; ///< False while connecting.
    TimePoint connectDeadline;
    FrameReader reader;
    std::deque<std::shared_ptr<const std::string>> unsent;
    std::size_t unsentBytes = 0;
    std::size_t frontOffset = 0; ///< Bytes of the first unsent frame that were sent.
};

} // namespace internal

class MessageLoop::Implementation
{
public:
    Implementation(Handlers handlers, Duration tickInterval)
        : m_handlers(std::move(handlers))
        , m_tickInterval(tickInterval)
        , m_wakeup(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
    }

    Result<int> listen(const std::string &text);
    void start();
    void stop();
    void post(std::function<void()> function);
    void connect(LinkId id, const std::string &address);
    void send(std::span<const LinkId> ids, const Envelope &envelope);
    void close(LinkId id) { m_connections.erase(id); }
    [[nodiscard]] LoopTraffic traffic() const
    {
        return {m_bytesSent, m_bytesReceived, m_framesRefused};
    }

private:
    void run();
    void runPosted();
    void pollOnce(TimePoint until);
    void flushAll();
    void accept();
    void handleEvents(LinkId id, short events);
    void finishConnect(LinkId id, internal::Connection &connection);
    void read(LinkId id);
    bool deliverFrames(LinkId id);
    bool write(LinkId id);
    void closeWithError(LinkId id, const Error &error);
    void failTimedOutConnects(TimePoint now);

    Handlers m_handlers;
    Duration m_tickInterval;
    internal::FileDescriptor m_wakeup;
    internal::FileDescriptor m_listener;
    std::map<LinkId, internal::Connection> m_connections;
    LinkId m_nextAcceptedId = 2;
    std::thread m_thread;
    std::atomic<bool> m_stopping = false;
    std::atomic<std::uint64_t> m_bytesSent = 0;
    std::atomic<std::uint64_t> m_bytesReceived = 0;
    std::atomic<std::uint64_t> m_framesRefused = 0;
    std::mutex m_mutex;
    std::vector<std::function<void()>> m_posted;
};

Result<int> MessageLoop::Implementation::listen(const std::string &text)
{
    auto address = internal::parseAddress(text);
    if (!address)
        return Error(ErrorKind::SettingsInvalid, "'" + text + "' is not IP:PORT");
    internal::FileDescriptor socket(
            ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    socklen_t length = sizeof(*address);
    auto *socketAddress = reinterpret_cast<sockaddr *>(&*address);
    if (::bind(socket.get(), socketAddress, length) != 0
        || ::listen(socket.get(), internal::listenBacklog) != 0
        || getsockname(socket.get(), socketAddress, &length) != 0)
        return Error(ErrorKind::Unreachable, "cannot listen on " + text);
    m_listener = std::move(socket);
    return static_cast<int>(ntohs(address->sin_port));
}

void MessageLoop::Implementation::start()
{
    m_thread = std::thread([this] { run(); });
}

void MessageLoop::Implementation::stop()
{
    if (!m_thread.joinable())
        return;
    m_stopping = true;
    post([] {});
    m_thread.join();
}

void MessageLoop::Implementation::post(std::function<void()> function)
{
    {
        const std::lock_guard lock(m_mutex);
        m_posted.push_back(std::move(function));
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(m_wakeup.get(), &one, sizeof(one));
}

void MessageLoop::Implementation::run()
{
    // The name lets profilers attribute CPU time to this thread.
    pthread_setname_np(pthread_self(), "message-loop");
    TimePoint nextTick = steadyNow();
    while (!m_stopping) {
        const TimePoint now = steadyNow();
        if (now >= nextTick) {
            nextTick = now + m_tickInterval;
            failTimedOutConnects(now);
            if (m_handlers.ticked)
                m_handlers.ticked();
        }
        pollOnce(nextTick);
        runPosted();
    }
    runPosted();
    flushAll();
    m_connections.clear();
}

void MessageLoop::Implementation::runPosted()
{
    std::vector<std::function<void()>> posted;
    {
        const std::lock_guard lock(m_mutex);
        posted.swap(m_posted);
    }
    for (const auto &it : posted)
        it();
}

void MessageLoop::Implementation::pollOnce(TimePoint until)
{
    std::vector<pollfd> descriptors{{m_wakeup.get(), POLLIN, 0}, {m_listener.get(), POLLIN, 0}};
    std::vector<LinkId> ids;
    for (const auto &it : m_connections) {
        const bool wantsWrite = !it.second.open || !it.second.unsent.empty();
        const auto events = static_cast<short>(wantsWrite ? POLLIN | POLLOUT : POLLIN);
        descriptors.push_back({it.second.socket.get(), events, 0});
        ids.push_back(it.first);
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(until - steadyNow()).count();
    const int timeout = static_cast<int>(std::max<std::int64_t>(0, wait));
    if (::poll(descriptors.data(), descriptors.size(), timeout) <= 0)
        return;
    if (descriptors[0].revents != 0) {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto got = ::read(m_wakeup.get(), &count, sizeof(count));
    }
    if (descriptors[1].revents != 0)
        accept();
    for (std::size_t n = 0; n < ids.size(); ++n) {
        if (descriptors[n + 2].revents != 0)
            handleEvents(ids[n], descriptors[n + 2].revents);
    }
}

void MessageLoop::Implementation::flushAll()
{
    const TimePoint until = steadyNow() + internal::flushTimeout;
    const auto pending = [this] {
        return std::any_of(m_connections.begin(), m_connections.end(), [](const auto &it) {
            return it.second.open && !it.second.unsent.empty();
        });
    };
    while (pending() && steadyNow() < until)
        pollOnce(until);
}

void MessageLoop::Implementation::accept()
{
    for (;;) {
        internal::FileDescriptor socket(
                ::accept4(m_listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (socket.get() < 0)
            return;
        internal::setSocketOptions(socket.get());
        const LinkId id = m_nextAcceptedId;
        m_nextAcceptedId += 2;
        internal::Connection &connection = m_connections[id];
        connection.socket = std::move(socket);
        connection.open = true;
        if (m_handlers.opened)
            m_handlers.opened(id);
    }
}

void MessageLoop::Implementation::connect(LinkId id, const std::string &text)
{
    const auto address = internal::parseAddress(text);
    internal::Connection &connection = m_connections[id];
    connection.connectDeadline = steadyNow() + internal::connectTimeout;
    connection.socket = internal::FileDescriptor(
            ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    internal::setSocketOptions(connection.socket.get());
    const auto *socketAddress = reinterpret_cast<const sockaddr *>(address ? &*address : nullptr);
    if (address && ::connect(connection.socket.get(), socketAddress, sizeof(*address)) == 0)
        return;
    if (!address || errno != EINPROGRESS)
        post([this, id, text] { closeWithError(id, Error(ErrorKind::Unreachable, text)); });
}

void MessageLoop::Implementation::failTimedOutConnects(TimePoint now)
{
    std::vector<LinkId> timedOut;
    for (const auto &it : m_connections) {
        if (!it.second.open && now >= it.second.connectDeadline)
            timedOut.push_back(it.first);
    }
    for (const LinkId id : timedOut)
        closeWithError(id, Error(ErrorKind::DeadlineExceeded, "connection attempt timed out"));
}

void MessageLoop::Implementation::handleEvents(LinkId id, short events)
{
    const auto it = m_connections.find(id);
    if (it == m_connections.end())
        return;
    if (!it->second.open) {
        finishConnect(id, it->second);
        return;
    }
    if ((events & POLLOUT) != 0 && !write(id))
        return;
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0)
        read(id);
}

void MessageLoop::Implementation::finishConnect(LinkId id, internal::Connection &connection)
{
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(connection.socket.get(), SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        closeWithError(id, Error(ErrorKind::Unreachable, std::generic_category().message(error)));
        return;
    }
    connection.open = true;
    if (m_handlers.opened)
        m_handlers.opened(id);
}

void MessageLoop::Implementation::read(LinkId id)
{
    std::array<char, internal::readBufferBytes> buf;
    for (;;) {
        const auto it = m_connections.find(id);
        if (it == m_connections.end())
            return;
        const auto got = ::recv(it->second.socket.get(), buf.data(), buf.size(), 0);
        if (got < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (got <= 0) {
            const bool truncated = it->second.reader.hasIncompleteFrame();
            m_framesRefused += truncated ? 1 : 0;
            closeWithError(id,
                           truncated ? Error(ErrorKind::Corrupt, "connection closed within a frame")
                                     : Error(ErrorKind::Unreachable, "connection closed by peer"));
            return;
        }
        m_bytesReceived += static_cast<std::uint64_t>(got);
        it->second.reader.append({buf.data(), static_cast<std::size_t>(got)});
        if (!deliverFrames(id))
            return;
    }
}

bool MessageLoop::Implementation::deliverFrames(LinkId id)
{
    for (;;) {
        const auto it = m_connections.find(id);
        if (it == m_connections.end())
            return false;
        auto frame = it->second.reader.next();
        if (frame && !*frame)
            return true;
        auto envelope = frame ? decodeEnvelope(**frame) : Result<Envelope>(frame.error());
        if (!envelope) {
            ++m_framesRefused;
            closeWithError(id, envelope.error());
            return false;
        }
        if (m_handlers.received)
            m_handlers.received(id, std::move(*envelope));
    }
}

bool MessageLoop::Implementation::write(LinkId id)
{
    internal::Connection &connection = m_connections.at(id);
    while (!connection.unsent.empty()) {
        const std::string &front = *connection.unsent.front();
        const auto sent = ::send(connection.socket.get(), front.data() + connection.frontOffset,
                                 front.size() - connection.frontOffset, MSG_NOSIGNAL);
        if (sent < 0 && (errno == EAGAIN || errno == EINTR))
            return true;
        if (sent < 0) {
            closeWithError(id,
                           Error(ErrorKind::Unreachable, std::generic_category().message(errno)));
            return false;
        }
        m_bytesSent += static_cast<std::uint64_t>(sent);
        connection.frontOffset += static_cast<std::size_t>(sent);
        connection.unsentBytes -= static_cast<std::size_t>(sent);
        if (connection.frontOffset == front.size()) {
            connection.unsent.pop_front();
            connection.frontOffset = 0;
        }
    }
    return true;
}

void MessageLoop::Implementation::send(std::span<const LinkId> ids, const Envelope &envelope)
{
    auto frame = encodeFrame(encodeEnvelope(envelope));
    if (!frame) {
        ++m_framesRefused;
        return;
    }
    const auto shared = std::make_shared<const std::string>(std::move(*frame));
    for (const LinkId id : ids) {
        const auto it = m_connections.find(id);
        if (it == m_connections.end())
            continue;
        const bool idle = it->second.unsent.empty();
        it->second.unsent.push_back(shared);
        it->second.unsentBytes += shared->size();
        if (it->second.unsentBytes > internal::maxUnsentBytes) {
            // Posted, so that `closed` cannot change the caller's state during its call of send().
            post([this, id] {
                closeWithError(id, Error(ErrorKind::LimitExceeded,
                                         "too much unsent data: the peer does not read"));
            });
        } else if (idle && it->second.open) {
            post([this, id] {
                if (m_connections.count(id) != 0)
                    write(id);
            });
        }
    }
}

void MessageLoop::Implementation::closeWithError(LinkId id, const Error &error)
{
    if (m_connections.erase(id) != 0 && m_handlers.closed)
        m_handlers.closed(id, error);
}

MessageLoop::MessageLoop(Handlers handlers, Duration tickInterval)
    : m_implementation(std::make_unique<Implementation>(std::move(handlers), tickInterval))
{
}

MessageLoop::~MessageLoop()
{
    stop();
}

Result<int> MessageLoop::listen(const std::string &address)
{
    return m_implementation->listen(address);
}

void MessageLoop::start()
{
    m_implementation->start();
}

void MessageLoop::stop()
{
    m_implementation->stop();
}

void MessageLoop::post(std::function<void()> function)
{
    m_implementation->post(std::move(function));
}

void MessageLoop::connect(LinkId id, const std::string &address)
{
    m_implementation->connect(id, address);
}

void MessageLoop::send(std::span<const LinkId> ids, const Envelope &envelope)
{
    m_implementation->send(ids, envelope);
}

void MessageLoop::close(LinkId id)
{
    m_implementation->close(id);
}

LoopTraffic MessageLoop::traffic() const
{
    return m_implementation->traffic();
}

} // namespace dragonflysill
