#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/base/stringhash.h"
#include "dragonflysill/net/connectionshare.h"
#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/net/httpmessage.h"
#include "dragonflysill/net/httptraffic.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflysill {

namespace internal {
class HttpConnection;
}

/** Limits of an HttpClient on its connections. */
struct HttpClientLimits
{
    /** Maximum number of calls in flight to an address; further ones wait. 0 for no limit. */
    std::size_t callsPerAddress = 0;
    std::chrono::milliseconds maxWait{300}; ///< A call that waits longer for others is not sent.
    std::chrono::milliseconds maxIdleTime{5000}; ///< After it, an unused connection is closed.
    /** Bytes that a connection reads at once; each has a buffer of this size. */
    std::size_t readBytes = 65536;
    std::uint64_t responseBytes = 8U << 20U; ///< Maximum size of the body of a response.
    /**
     * Limits the memory and the number of the connections. A call fails with OutcomeUnknown if its
     * response is given up for lack of memory, and with Unreachable if no connection is left.
     */
    std::shared_ptr<ConnectionShare> share = std::make_shared<ConnectionShare>();
};

/**
 * The process that a call is for, if several use its address in turn. A connection ends with the
 * process that accepted it, so a call reaches that process or none once it has answered there.
 */
struct IntendedPeer
{
    std::int64_t process = 0; ///< The only process that may receive the call; 0 for any.
    /** Asks a process who it is; sent first on a connection whose process is not known. */
    HttpRequest question;
    /** Returns the process that a response names; 0 if it names none. */
    std::function<std::int64_t(const HttpResponse &)> processOf;
};

/**
 * HTTP/1.1 client on the event loop. It reuses idle connections to an address and opens new ones as
 * needed. When a call times out, its connection is reset, so that the request does not arrive
 * later, and all idle connections to the same address are closed, because they may be dead too.
 */
class HttpClient
{
public:
    /** Receives the response, Unreachable if the request was not sent, or else OutcomeUnknown. */
    using Callback = std::function<void(Result<HttpResponse>)>;
    /** Returns whether a call has not been withdrawn. */
    using Wanted = std::function<bool()>;

    explicit HttpClient(EventLoop &loop, HttpClientLimits limits = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
     * Sends a request.
     * @param address "IP:PORT"
     * @param timeout time for the whole call, including the wait for other calls to the address and
     * the connection setup
     * @param wanted asked before a call that had to wait for others or for its connection is sent;
     * if it returns false, the call fails with Unreachable. Empty if the call is never withdrawn.
     * @param peer the process that the call is for; if another one answers the question, or the
     * answer's status is not 200, the request is not sent and the response is that answer
     */
    void call(const std::string &address, HttpRequest request, Duration timeout, Callback callback,
              Wanted wanted = {}, std::optional<IntendedPeer> peer = {});

    [[nodiscard]] const HttpTraffic &traffic() const { return m_traffic; }

private:
    friend class internal::HttpConnection;

    struct IdleConnection
    {
        std::shared_ptr<internal::HttpConnection> connection;
        TimePoint since{};
    };

    struct Call
    {
        HttpRequest request;
        TimePoint since{};
        TimePoint deadline{};
        Callback callback;
        Wanted wanted;
        std::optional<IntendedPeer> peer;
    };

    /** Connections and calls of an address. */
    struct Peer
    {
        std::vector<IdleConnection> idle; ///< Longest idle first.
        std::size_t callsInFlight = 0;
        std::deque<Call> waiting;
    };

    void send(const std::string &address, Peer &peer, Call call);
    /** Removes and returns an idle connection, if possible one to a process; none if all are in
     * use.
     */
    static std::optional<IdleConnection> takeIdle(Peer &peer, std::int64_t process);
    void failLater(Callback callback, std::string detail);
    /** Closes one idle connection. */
    void closeIdle(const std::string &address, const internal::HttpConnection *connection);
    /** Closes the idle connections to an address. */
    void closeIdle(const std::string &address);
    /** Sends calls that wait for others to an address to end. */
    void sendWaiting(const std::string &address);
    /**
     * Ends a call; the next one that waits for the address is sent later.
     * @param connection the connection of the call, if it can be reused
     */
    void callEnded(const std::string &address,
                   std::shared_ptr<internal::HttpConnection> connection);
    /** Closes connections that have been idle for too long, and again as long as any are idle. */
    void closeUnused();
    void closeUnusedLater();

    EventLoop &m_loop;
    HttpClientLimits m_limits;
    StringMap<Peer> m_peers;
    bool m_closingUnused = false; ///< closeUnused() will run.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    HttpTraffic m_traffic;
};

} // namespace dragonflysill
