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

/** Identifies a connection of a MessageLoop; odd if outgoing, even if accepted. */
using LinkId = std::uint64_t;

/** Counts of the bytes and frames that a loop has sent and received. */
struct LoopTraffic
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t framesRefused = 0; ///< Oversized, truncated or invalid frames.
};

/**
 * A TCP server and client for framed messages: one thread with a poll loop that owns the listening
 * socket and all connections. Handlers and posted functions run in that thread. An invalid frame
 * closes only its own connection; the `closed` handler receives the error. A connection whose peer
 * does not read is closed when its unsent data exceeds a limit.
 */
class MessageLoop
{
public:
    /** Callbacks of the loop. Each may be unset. */
    struct Handlers
    {
        std::function<void(LinkId)> opened; ///< A connection was accepted or established.
        std::function<void(LinkId, Envelope)> received;
        std::function<void(LinkId, const Error &)> closed; ///< Also called if connecting fails.
        std::function<void()> ticked; ///< Called once per tick interval.
    };

    /**
     * @param handlers the callbacks, which run in the loop's thread
     * @param tickInterval time between calls of `ticked`
     */
    MessageLoop(Handlers handlers, Duration tickInterval);
    ~MessageLoop();

    /**
     * Binds the listening socket; must be called before start().
     * @param address "IP:PORT"; port 0 chooses a free one
     * @return the port; SettingsInvalid for a malformed address, Unreachable if binding fails
     */
    Result<int> listen(const std::string &address);

    /** Starts the thread. */
    void start();

    /** Sends queued frames for at most 200 ms, closes all connections and joins the thread. */
    void stop();

    /** Runs a function in the loop's thread. May be called from any thread. */
    void post(std::function<void()> function);

    /** Opens a connection. @p id must be odd and unused. Must be called in the loop's thread. */
    void connect(LinkId id, const std::string &address);

    /**
     * Encodes a message once and queues it on several connections. Must be called in the loop's
     * thread.
     */
    void send(std::span<const LinkId> ids, const Envelope &envelope);

    /** Closes a connection without calling `closed`. Must be called in the loop's thread. */
    void close(LinkId id);

    /** Returns the counts since the loop was created. Thread-safe. */
    [[nodiscard]] LoopTraffic traffic() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace dragonflysill
