#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/telemetry/httplistener.h"
#include "dragonflysill/telemetry/timeline.h"

#include <httplib.h>
#include <prometheus/registry.h>

#include <atomic>
#include <memory>
#include <string>

namespace dragonflysill {

/**
 * HTTP server for the endpoints /metrics, /healthz, /readyz and /timeline of a process. Programs
 * may add routes to server() before start(). Runs in its own thread. The registry and the timeline
 * belong to the caller and must outlive it.
 */
class AdminServer
{
public:
    AdminServer(std::shared_ptr<prometheus::Registry> registry, const Timeline &timeline);
    ~AdminServer();

    /** Returns the HTTP server, for adding routes. */
    httplib::Server &server() { return m_server; }

    /**
     * Binds the address and serves requests in a separate thread.
     * @param address "IP:PORT"; port 0 selects a free port
     * @return the port; SettingsInvalid for a malformed address, Unreachable if binding fails
     */
    Result<int> start(const std::string &address);

    /** Sets the status that /readyz returns: 200 if ready, 503 otherwise. */
    void setReady(bool ready) { m_ready = ready; }

    /** Stops the server and joins its thread. */
    void stop();

private:
    void addRoutes();

    std::shared_ptr<prometheus::Registry> m_registry;
    const Timeline &m_timeline;
    httplib::Server m_server;
    std::atomic<bool> m_ready = false;
    HttpListener m_listener{m_server};
};

} // namespace dragonflysill
