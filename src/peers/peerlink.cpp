#include "dragonflysill/peers/peerlink.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Interval between two searches for calls that have timed out, and for a silent peer. */
constexpr Duration linkCheckInterval = 50ms;
/** Time in which a peer must answer the first frame of a connection. */
constexpr Duration openTimeout = 500ms;
/** Time after the last frame after which a peer that has not answered is asked again. */
constexpr Duration pingInterval = 300ms;
/** Time without any frame from a peer that should answer after which the connection is dead. */
constexpr Duration silenceTimeout = 800ms;
/**
 * Maximum time from a call to its frame. A call that waits longer, because this process was paused,
 * is not sent: the peer cannot know how late it is and would carry it out like a new one.
 */
constexpr Duration maxFrameWait = 500ms;
/** Maximum number of requests that wait for a connection. */
constexpr std::size_t maxWaitingRequests = 10000;
/** Delay after a failure before the next attempt to connect. */
constexpr Duration reconnectDelay = 200ms;

} // namespace internal

PeerLink::PeerLink(EventLoop &loop, std::string address, Duration flushDelay)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_flushDelay(flushDelay)
{
}

PeerLink::~PeerLink()
{
    *m_alive = false;
}

void PeerLink::connect()
{
    const auto now = EventLoop::now();
    if (m_state != State::Closed || now < m_retryAt)
        return;
    m_state = State::Opening;
    m_openedAt = now;
    m_waitingSince.reset();
    m_encoder = {};
    m_decoder = {};
    m_connection = std::make_unique<FrameConnection>(
            m_loop, m_address,
            FrameConnection::Handlers{[this](std::string_view payload) { received(payload); },
                                      [this](const std::string &reason) { close(reason); }});
    sendBatch({});
    checkLater();
}

void PeerLink::call(PeerRequest request, Duration timeout, Callback callback)
{
    connect();
    if (++m_lastCall == noCall)
        ++m_lastCall;
    const auto number = m_lastCall;
    const auto now = EventLoop::now();
    m_calls[number] = {now + timeout, now + std::min(timeout, internal::maxFrameWait), false,
                       std::move(callback)};
    m_batch.requests.push_back({number, std::move(request)});
    if (m_state == State::Open)
        flushLater();
    checkLater();
}

void PeerLink::notify(PeerRequest request)
{
    connect();
    if (m_state == State::Closed || m_batch.requests.size() >= internal::maxWaitingRequests)
        return;
    m_batch.requests.push_back({noCall, std::move(request)});
    if (m_state == State::Open)
        flushLater();
    checkLater();
}

void PeerLink::flushLater()
{
    if (std::exchange(m_flushing, true))
        return;
    m_loop.after(m_flushDelay, [this, alive = m_alive] {
        if (!*alive)
            return;
        m_flushing = false;
        flush();
    });
}

void PeerLink::flush()
{
    if (m_state != State::Open || m_batch.empty())
        return;
    const auto now = EventLoop::now();
    std::erase_if(m_batch.requests, [this, now](const auto &it) {
        if (it.call == noCall)
            return false;
        const auto call = m_calls.find(it.call);
        if (call == m_calls.end())
            return true;
        if (now < call->second.sendUntil) {
            call->second.sent = true;
            return false;
        }
        fail(call->second, ErrorKind::Unreachable, "not sent in time");
        m_calls.erase(call);
        return true;
    });
    if (!m_batch.empty())
        sendBatch(std::exchange(m_batch, {}));
}

void PeerLink::sendBatch(const PeerBatch &batch)
{
    auto stamped = batch;
    m_sentAt = EventLoop::now();
    const bool answered = batch.requests.empty()
                          || std::ranges::any_of(batch.requests,
                                                 [](const auto &it) { return it.call != noCall; });
    if (answered)
        m_waitingSince = m_waitingSince.value_or(m_sentAt);
    stamped.sentMs = m_sentAt.time_since_epoch() / std::chrono::milliseconds(1);
    stamped.fence = m_fence;
    m_connection->send(m_encoder.encode(stamped));
}

void PeerLink::received(std::string_view payload)
{
    m_waitingSince.reset();
    auto batch = m_decoder.decode(payload);
    if (!batch) {
        close(batch.error().text());
        return;
    }
    if (m_state == State::Opening) {
        // A process that was paused reads an answer before it handles the timeout. The peer
        // measures the delay of further frames by the first one, which has to be on time.
        if (EventLoop::now() - m_openedAt >= internal::openTimeout) {
            close("late answer to the first frame");
            return;
        }
        m_state = State::Open;
        flush();
    }
    for (auto &it : batch->answers) {
        const auto call = m_calls.find(it.call);
        if (call == m_calls.end())
            continue;
        const auto callback = std::move(call->second.callback);
        m_calls.erase(call);
        callback(std::move(it.message));
    }
}

void PeerLink::fail(Call &call, ErrorKind kind, const std::string &detail)
{
    m_loop.post([callback = std::move(call.callback), kind, text = m_address + ": " + detail] {
        callback(Error(kind, text));
    });
}

void PeerLink::close(const std::string &reason)
{
    if (m_connection) {
        const auto &traffic = m_connection->traffic();
        m_pastTraffic.bytesSent += traffic.bytesSent;
        m_pastTraffic.bytesReceived += traffic.bytesReceived;
        m_pastTraffic.framesSent += traffic.framesSent;
    }
    m_connection.reset();
    m_state = State::Closed;
    m_retryAt = EventLoop::now() + internal::reconnectDelay;
    m_batch = {};
    for (auto &[number, call] : std::exchange(m_calls, {}))
        fail(call, call.sent ? ErrorKind::OutcomeUnknown : ErrorKind::Unreachable, reason);
}

void PeerLink::checkLater()
{
    if (std::exchange(m_checking, true))
        return;
    m_loop.after(internal::linkCheckInterval, [this, alive = m_alive] {
        if (!*alive)
            return;
        m_checking = false;
        check();
    });
}

void PeerLink::check()
{
    const auto now = EventLoop::now();
    for (auto it = m_calls.begin(); it != m_calls.end();) {
        const auto call = it++;
        if (now < call->second.deadline)
            continue;
        fail(call->second, call->second.sent ? ErrorKind::OutcomeUnknown : ErrorKind::Unreachable,
             "no answer");
        m_calls.erase(call);
    }
    if (m_state == State::Opening && now - m_openedAt >= internal::openTimeout) {
        close("no answer to the first frame");
    } else if (m_state == State::Open) {
        if (m_waitingSince && now - *m_waitingSince >= internal::silenceTimeout)
            close("the peer is silent");
        else if (now - m_sentAt >= internal::pingInterval)
            sendBatch({});
    }
    if (m_state == State::Opening || !m_calls.empty())
        checkLater();
}

FrameTraffic PeerLink::traffic() const
{
    auto sum = m_pastTraffic;
    if (m_connection) {
        const auto &traffic = m_connection->traffic();
        sum.bytesSent += traffic.bytesSent;
        sum.bytesReceived += traffic.bytesReceived;
        sum.framesSent += traffic.framesSent;
    }
    return sum;
}

} // namespace dragonflysill
