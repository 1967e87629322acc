#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/net/frameconnection.h"
#include "dragonflysill/peers/codec.h"
#include "dragonflysill/peers/messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace dragonflysill {

/**
 * Connection to another node for requests. It connects on the first call and again after a failure,
 * sends calls that are made shortly after each other in one frame, and notices a peer that has
 * become silent. A new connection is used only after the peer has answered a first frame quickly.
 */
class PeerLink
{
public:
    /**
     * Receives the answer; Unreachable if the request was not sent, or OutcomeUnknown if it may
     * have been carried out.
     */
    using Callback = std::function<void(Result<PeerAnswer>)>;

    /**
     * @param address "IP:PORT" of the peer
     * @param flushDelay time for which a call waits for others to share its frame
     */
    PeerLink(EventLoop &loop, std::string address, Duration flushDelay);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /** Sets the fencing token that is sent with the following requests. */
    void setFence(std::int64_t fence) { m_fence = fence; }

    /** Sends a request. @param timeout time for the whole call, including the connection setup */
    void call(PeerRequest request, Duration timeout, Callback callback);

    /** Sends a request that is not answered; it is lost if the peer cannot be reached. */
    void notify(PeerRequest request);

    /** Opens the connection if it is closed and no attempt failed shortly before. */
    void connect();

    /** Returns whether the peer has answered lately. */
    [[nodiscard]] bool usable() const { return m_state == State::Open; }

    /** Returns whether the connection has failed or was never opened. */
    [[nodiscard]] bool closed() const { return m_state == State::Closed; }

    [[nodiscard]] const std::string &address() const { return m_address; }

    /** Returns the traffic of all its connections. */
    [[nodiscard]] FrameTraffic traffic() const;

private:
    enum class State {
        Closed,
        Opening, ///< The first frame has not been answered.
        Open,
    };

    struct Call
    {
        TimePoint deadline{};
        TimePoint sendUntil{};
        bool sent = false;
        Callback callback;
    };

    void flush();
    void flushLater();
    void received(std::string_view payload);
    void close(const std::string &reason);
    void check();
    void checkLater();
    void sendBatch(const PeerBatch &batch);
    void fail(Call &call, ErrorKind kind, const std::string &detail);

    EventLoop &m_loop;
    std::string m_address;
    Duration m_flushDelay;
    std::int64_t m_fence = 0;
    State m_state = State::Closed;
    std::unique_ptr<FrameConnection> m_connection;
    PeerEncoder m_encoder;
    PeerDecoder m_decoder;
    FrameTraffic m_pastTraffic; ///< Of closed connections.
    PeerBatch m_batch; ///< Requests that have not been sent.
    std::uint32_t m_lastCall = 0;
    std::map<std::uint32_t, Call> m_calls;
    TimePoint m_openedAt{};
    TimePoint m_sentAt{};
    /** Time of the first frame that the peer should answer and after which it sent nothing. */
    std::optional<TimePoint> m_waitingSince;
    TimePoint m_retryAt{};
    bool m_flushing = false; ///< flush() will run.
    bool m_checking = false; ///< check() will run.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace dragonflysill
