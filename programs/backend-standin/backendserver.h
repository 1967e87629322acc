#pragma once

#include "behaviour.h"
#include "runlog.h"

#include "dragonflysill/base/result.h"

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace dragonflysill {

/** The settings of a BackendServer. */
struct BackendServerSettings
{
    std::string name;
    int slots = 8; ///< Largest number of requests that run at once.
    std::size_t connections = 64; ///< Largest number of connections served at once.
    ServiceTime serviceTime;
    std::uint64_t seed = 1;
    std::chrono::milliseconds drainLimit{30000}; ///< Longest wait for requests in flight.
    /** Time in which requests are refused, so that clients stop sending, before connections close.
     */
    std::chrono::milliseconds drainLinger{200};
};

/** Runs each request for its service time in a slot and echoes it. Owns its threads. */
class BackendServer
{
public:
    explicit BackendServer(BackendServerSettings settings);
    ~BackendServer();

    BackendServer(const BackendServer &) = delete;
    BackendServer &operator=(const BackendServer &) = delete;

    /** Binds and starts to serve; port 0 chooses a free port. Returns the port or Unreachable. */
    Result<int> start(const std::string &host, int port);

    /** Refuses new requests, waits for the requests in flight and stops. */
    void drainAndStop();

private:
    void addRoutes();
    void handle(const httplib::Request &request, httplib::Response &response);
    void run(const httplib::Request &request, httplib::Response &response);
    bool takeSlot();
    void releaseSlot();
    void refuse(httplib::Response &response);
    void waitUntilClosed(const httplib::Request &request);
    bool isSilent(const httplib::Request &request);

    const BackendServerSettings m_settings;
    Behaviour m_behaviour;
    RunLog m_log;
    std::mutex m_mutex;
    std::condition_variable m_slotReleased;
    int m_busySlots = 0;
    std::set<int> m_openPorts; ///< Client ports that sent a request.
    std::set<int> m_silentPorts; ///< Client ports that get no more answers.
    std::atomic<bool> m_draining = false;
    std::atomic<bool> m_stopping = false;
    httplib::Server m_server;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace dragonflysill
