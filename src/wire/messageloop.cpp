#include "dragonflysill/wire/messageloop.h"

#include "dragonflysill/wire/codec.h"
#include "dragonflysill/wire/frame.h"

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

/** Unsent bytes of one connection; holds the largest full state plus changes. */
constexpr std::size_t unsentLimit = std::size_t{24} * 1024 * 1024;
/** How long an outgoing connection may take; loopback and in-region networks need milliseconds. */
constexpr std::chrono::milliseconds connectLimit{500};
/** How long stop() waits for queued frames. */
constexpr std::chrono::milliseconds flushLimit{200};
/**
 * Unacknowledged data closes a connection after this time. The kernel's default of 15 minutes would
 * keep a connection that stopped responding, while a new one works.
 */
constexpr std::chrono::milliseconds unacknowledgedLimit{2000};
constexpr std::size_t readChunk = 65536;
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

void setConnectionOptions(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto limit = static_cast<unsigned>(unacknowledgedLimit.count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

/** Owns a file descriptor. */
class Descriptor
{
public:
    explicit Descriptor(int fd = -1)
        : m_fd(fd)
    {
    }
    Descriptor(Descriptor &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    Descriptor &operator=(Descriptor &&other) noexcept
    {
        std::swap(m_fd, other.m_fd);
        return *this;
    }
    ~Descriptor()
    {
        if (m_fd >= 0)
            ::close(m_fd);
    }

    [[nodiscard]] int get() const { return m_fd; }

private:
    int m_fd;
};

/** One connection with its partial input and queued output. */
struct Link
{
    Descriptor socket;
    bool open = false;
    TimePoint connectBy;
    FrameReader reader;
    std::deque<std::shared_ptr<const std::string>> unsent;
    std::size_t unsentBytes = 0;
    std::size_t frontOffset = 0;
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
    void send(std::span<const LinkId> links, const Envelope &envelope);
    void close(LinkId id) { m_links.erase(id); }
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
    void handle(LinkId id, short events);
    void finishConnect(LinkId id, internal::Link &link);
    void read(LinkId id);
    bool deliver(LinkId id);
    bool write(LinkId id);
    void fail(LinkId id, const Error &error);
    void failLateConnects(TimePoint now);

    Handlers m_handlers;
    Duration m_tickInterval;
    internal::Descriptor m_wakeup;
    internal::Descriptor m_listener;
    std::map<LinkId, internal::Link> m_links;
    LinkId m_nextAccepted = 2;
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
    internal::Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    socklen_t length = sizeof(*address);
    auto *generic = reinterpret_cast<sockaddr *>(&*address);
    if (::bind(socket.get(), generic, length) != 0
        || ::listen(socket.get(), internal::listenBacklog) != 0
        || getsockname(socket.get(), generic, &length) != 0)
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
    // Named threads let a measurement attribute processor time.
    pthread_setname_np(pthread_self(), "message-loop");
    TimePoint nextTick = steadyNow();
    while (!m_stopping) {
        const TimePoint now = steadyNow();
        if (now >= nextTick) {
            nextTick = now + m_tickInterval;
            failLateConnects(now);
            if (m_handlers.ticked)
                m_handlers.ticked();
        }
        pollOnce(nextTick);
        runPosted();
    }
    runPosted();
    flushAll();
    m_links.clear();
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
    for (const auto &it : m_links) {
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
            handle(ids[n], descriptors[n + 2].revents);
    }
}

void MessageLoop::Implementation::flushAll()
{
    const TimePoint until = steadyNow() + internal::flushLimit;
    const auto pending = [this] {
        return std::any_of(m_links.begin(), m_links.end(), [](const auto &it) {
            return it.second.open && !it.second.unsent.empty();
        });
    };
    while (pending() && steadyNow() < until)
        pollOnce(until);
}

void MessageLoop::Implementation::accept()
{
    for (;;) {
        internal::Descriptor socket(
                ::accept4(m_listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (socket.get() < 0)
            return;
        internal::setConnectionOptions(socket.get());
        const LinkId id = m_nextAccepted;
        m_nextAccepted += 2;
        internal::Link &link = m_links[id];
        link.socket = std::move(socket);
        link.open = true;
        if (m_handlers.opened)
            m_handlers.opened(id);
    }
}

void MessageLoop::Implementation::connect(LinkId id, const std::string &text)
{
    const auto address = internal::parseAddress(text);
    internal::Link &link = m_links[id];
    link.connectBy = steadyNow() + internal::connectLimit;
    link.socket = internal::Descriptor(
            ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    internal::setConnectionOptions(link.socket.get());
    const auto *generic = reinterpret_cast<const sockaddr *>(address ? &*address : nullptr);
    if (address && ::connect(link.socket.get(), generic, sizeof(*address)) == 0)
        return;
    if (!address || errno != EINPROGRESS)
        post([this, id, text] { fail(id, Error(ErrorKind::Unreachable, text)); });
}

void MessageLoop::Implementation::failLateConnects(TimePoint now)
{
    std::vector<LinkId> late;
    for (const auto &it : m_links) {
        if (!it.second.open && now >= it.second.connectBy)
            late.push_back(it.first);
    }
    for (const LinkId id : late)
        fail(id, Error(ErrorKind::DeadlineExceeded, "connection not established"));
}

void MessageLoop::Implementation::handle(LinkId id, short events)
{
    const auto it = m_links.find(id);
    if (it == m_links.end())
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

void MessageLoop::Implementation::finishConnect(LinkId id, internal::Link &link)
{
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(link.socket.get(), SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        fail(id, Error(ErrorKind::Unreachable, std::generic_category().message(error)));
        return;
    }
    link.open = true;
    if (m_handlers.opened)
        m_handlers.opened(id);
}

void MessageLoop::Implementation::read(LinkId id)
{
    std::array<char, internal::readChunk> buf;
    for (;;) {
        const auto it = m_links.find(id);
        if (it == m_links.end())
            return;
        const auto got = ::recv(it->second.socket.get(), buf.data(), buf.size(), 0);
        if (got < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (got <= 0) {
            const bool truncated = it->second.reader.incomplete();
            m_framesRefused += truncated ? 1 : 0;
            fail(id, truncated ? Error(ErrorKind::Corrupt, "stream ended within a frame")
                               : Error(ErrorKind::Unreachable, "connection closed by peer"));
            return;
        }
        m_bytesReceived += static_cast<std::uint64_t>(got);
        it->second.reader.append({buf.data(), static_cast<std::size_t>(got)});
        if (!deliver(id))
            return;
    }
}

bool MessageLoop::Implementation::deliver(LinkId id)
{
    for (;;) {
        const auto it = m_links.find(id);
        if (it == m_links.end())
            return false;
        auto frame = it->second.reader.next();
        if (frame && !*frame)
            return true;
        auto envelope = frame ? decodeEnvelope(**frame) : Result<Envelope>(frame.error());
        if (!envelope) {
            ++m_framesRefused;
            fail(id, envelope.error());
            return false;
        }
        if (m_handlers.received)
            m_handlers.received(id, std::move(*envelope));
    }
}

bool MessageLoop::Implementation::write(LinkId id)
{
    internal::Link &link = m_links.at(id);
    while (!link.unsent.empty()) {
        const std::string &front = *link.unsent.front();
        const auto sent = ::send(link.socket.get(), front.data() + link.frontOffset,
                                 front.size() - link.frontOffset, MSG_NOSIGNAL);
        if (sent < 0 && (errno == EAGAIN || errno == EINTR))
            return true;
        if (sent < 0) {
            fail(id, Error(ErrorKind::Unreachable, std::generic_category().message(errno)));
            return false;
        }
        m_bytesSent += static_cast<std::uint64_t>(sent);
        link.frontOffset += static_cast<std::size_t>(sent);
        link.unsentBytes -= static_cast<std::size_t>(sent);
        if (link.frontOffset == front.size()) {
            link.unsent.pop_front();
            link.frontOffset = 0;
        }
    }
    return true;
}

void MessageLoop::Implementation::send(std::span<const LinkId> links, const Envelope &envelope)
{
    auto frame = encodeFrame(encodeEnvelope(envelope));
    if (!frame) {
        ++m_framesRefused;
        return;
    }
    const auto shared = std::make_shared<const std::string>(std::move(*frame));
    for (const LinkId id : links) {
        const auto it = m_links.find(id);
        if (it == m_links.end())
            continue;
        const bool idle = it->second.unsent.empty();
        it->second.unsent.push_back(shared);
        it->second.unsentBytes += shared->size();
        if (it->second.unsentBytes > internal::unsentLimit) {
            // Deferred, so that the caller's state does not change within its own call.
            post([this, id] { fail(id, Error(ErrorKind::LimitExceeded, "peer does not read")); });
        } else if (idle && it->second.open) {
            post([this, id] {
                if (m_links.count(id) != 0)
                    write(id);
            });
        }
    }
}

void MessageLoop::Implementation::fail(LinkId id, const Error &error)
{
    if (m_links.erase(id) != 0 && m_handlers.closed)
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

void MessageLoop::send(std::span<const LinkId> links, const Envelope &envelope)
{
    m_implementation->send(links, envelope);
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
