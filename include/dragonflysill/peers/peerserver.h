#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/net/frameconnection.h"
#include "dragonflysill/peers/messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace dragonflysill {

namespace internal {
struct PeerServerState;
}

/** A request of a peer and how it arrived. */
struct ReceivedRequest
{
    PeerRequest message;
    std::int64_t fence = 0; ///< Fencing token of the sender; 0 if it owns nothing.
    Duration delay{0}; ///< How late the frame arrived.
};

/** Answers the requests of other nodes. A malformed frame closes its connection. */
class PeerServer
{
public:
    /** Sends the answer to a request; calls after the first are ignored. */
    using Respond = std::function<void(PeerAnswer)>;
    using Handler = std::function<void(ReceivedRequest request, Respond respond)>;

    PeerServer(EventLoop &loop, Handler handler);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /** Sets the share that limits the connections; call it before listen(). */
    void setShare(std::shared_ptr<ConnectionShare> share) { m_server.setShare(std::move(share)); }

    /** Opens the port "IP:PORT"; SettingsInvalid if it can't be bound. */
    Result<Done> listen(const std::string &address);

    /** Returns the number of open connections. */
    [[nodiscard]] std::size_t connections() const;

    /** Returns the number of connections that were closed because of a malformed frame. */
    [[nodiscard]] std::uint64_t malformedFrames() const;

private:
    std::shared_ptr<internal::PeerServerState> m_state;
    FrameServer m_server;
};

} // namespace dragonflysill
