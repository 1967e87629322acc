#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/base/time.h"
#include "dragonflysill/wire/message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

namespace dragonflysill {

/** Identifies a connection of a MessageLoop; odd for outgoing, even for accepted connections. */
using LinkId = std::uint64_t;

/** Bytes and frames that a loop has sent and received. */
struct LoopTraffic
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t framesRefused = 0; ///< Frames that were oversized, truncated or not verified.
};

/**
 * A TCP server and client for framed messages: one thread with a poll loop that owns the listening
 * socket and all connections. Handlers and posted functions run in that thread. A bad frame closes
 * its connection with a typed error and affects no other. A connection whose peer does not read is
 * closed when its unsent data exceeds a limit.
 */
class MessageLoop
{
public:
    /** The functions that the loop calls. Unset ones are skipped. */
    struct Handlers
    {
        std::function<void(LinkId)> opened; ///< Accepted, or an outgoing connection is ready.
        std::function<void(LinkId, Envelope)> received;
        std::function<void(LinkId, const Error &)> closed; ///< Also if a connection never opened.
        std::function<void()> ticked; ///< Called once for each tick interval.
    };

    /**
     * @param handlers the functions to call
     * @param tickInterval time between calls of `ticked`
     */
    MessageLoop(Handlers handlers, Duration tickInterval);
    ~MessageLoop();

    /**
     * Binds the listening socket; call it before start().
     * @param address "IP:PORT"; port 0 chooses a free one
     * @return the port, or Unreachable if the address cannot be bound
     */
    Result<int> listen(const std::string &address);

    /** Starts the thread. */
    void start();

    /** Sends what is queued for at most 200 ms, closes all connections and joins the thread. */
    void stop();

    /** Runs a function in the loop's thread. May be called from any thread. */
    void post(std::function<void()> function);

    /** Opens a connection. @p id must be odd and unused. Only in the loop's thread. */
    void connect(LinkId id, const std::string &address);

    /** Encodes a message once and sends it on several connections. Only in the loop's thread. */
    void send(std::span<const LinkId> links, const Envelope &envelope);

    /** Closes a connection without calling `closed`. Only in the loop's thread. */
    void close(LinkId id);

    /** Returns the traffic so far. Thread-safe. */
    [[nodiscard]] LoopTraffic traffic() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace dragonflysill
