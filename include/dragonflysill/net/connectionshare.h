#pragma once

#include "dragonflysill/net/eventloop.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

namespace dragonflysill {

/** Why a connection was closed before its peer ended it. */
enum class CloseCause {
    Memory, ///< The memory of its share was used up.
    Connections, ///< The connections of its share were used up.
    HeaderTimeout,
    BodyTimeout,
    ResponseTimeout, ///< The peer did not read the response in time.
    IdleTimeout,
    TooLarge, ///< A message exceeded a limit of its own.
    Malformed,
};

constexpr std::size_t closeCauseCount = 8;

/** Returns the name of a cause in metrics and logs. */
std::string_view closeCauseName(CloseCause cause);

/** What a connection does. */
enum class ConnectionPhase {
    Idle, ///< No message is under way.
    Receiving, ///< A message has been received in part.
    Handling, ///< The message is complete and not answered, or the response is awaited.
    Sending, ///< The response has not been read by the peer.
    Closing, ///< Only the socket is left.
};

/** Limits of a ConnectionShare; 0 for none. */
struct ShareLimits
{
    std::size_t bytes = 0;
    std::size_t connections = 0;
};

/**
 * Decides which connections are closed when the memory or the connections of one part of the
 * process, for example a port, are used up. It knows no sockets: connections report what they hold
 * and are told when they have to close.
 *
 * If memory is short, the connection goes first whose unfinished message or unread response has the
 * largest product of bytes and time. A slow peer is charged for what it keeps from others, and a
 * new request costs almost nothing, so that others are still served. Messages that are being
 * handled are never given up: the memory would not return and the outcome would be unknown.
 *
 * If connections are short, those go first that are closing anyway, then those that have been idle
 * for longest, before all those that have never sent a request, then those whose message has been
 * unfinished for longest. A new connection is refused only if all others are being handled.
 */
class ConnectionShare
{
public:
    using Id = std::uint64_t;
    /** Closes the connection; called once, and possibly within update() of the same one. */
    using Refuse = std::function<void(CloseCause cause)>;

    explicit ConnectionShare(ShareLimits limits = {})
        : m_limits(limits)
    {
    }

    /**
     * Adds an idle connection.
     * @param idleBytes memory of the connection while it is idle
     * @return no value if it has to be closed at once
     */
    std::optional<Id> open(std::size_t idleBytes, TimePoint now, Refuse refuse);

    /** Reports what a connection does and holds; may call the Refuse of any connection. */
    void update(Id id, ConnectionPhase phase, std::size_t bytes, TimePoint now);

    /** Removes a connection; does nothing if it is unknown. */
    void close(Id id);

    /** Counts a connection that was closed for a reason other than the limits of the share. */
    void countClosed(CloseCause cause) { ++m_closed.at(static_cast<std::size_t>(cause)); }

    [[nodiscard]] const ShareLimits &limits() const { return m_limits; }
    [[nodiscard]] std::size_t heldBytes() const { return m_bytes; }
    [[nodiscard]] std::size_t connections() const { return m_entries.size(); }

    /** Returns the maximum of heldBytes() since the last call. */
    std::size_t takePeakBytes() { return std::exchange(m_peakBytes, m_bytes); }

    /** Returns how many connections were closed for a cause. */
    [[nodiscard]] std::uint64_t closed(CloseCause cause) const
    {
        return m_closed.at(static_cast<std::size_t>(cause));
    }

private:
    struct Entry
    {
        ConnectionPhase phase = ConnectionPhase::Idle;
        std::size_t bytes = 0;
        std::size_t idleBytes = 0;
        TimePoint since{}; ///< Beginning of the phase.
        bool served = false; ///< Whether a message of it has been answered.
        Refuse refuse;
    };
    using Entries = std::map<Id, Entry>;

    void makeRoom(TimePoint now);
    [[nodiscard]] Entries::iterator largestHolder(TimePoint now);
    [[nodiscard]] Entries::iterator mostDispensable(TimePoint now);

    ShareLimits m_limits;
    Entries m_entries;
    Id m_lastId = 0;
    std::size_t m_bytes = 0;
    std::size_t m_peakBytes = 0;
    bool m_makingRoom = false;
    std::array<std::uint64_t, closeCauseCount> m_closed{};
};

} // namespace dragonflysill
