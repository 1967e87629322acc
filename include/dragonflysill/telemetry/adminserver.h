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
 * Serves /metrics, /healthz, /readyz and /timeline of a process. Programs may add routes to
 * server() before start(). Owns its thread; the registry and the timeline belong to the caller and
 * must outlive it.
 */
class AdminServer
{
public:
    AdminServer(std::shared_ptr<prometheus::Registry> registry, const Timeline &timeline);
    ~AdminServer();

    /** The HTTP server, for further routes. */
    httplib::Server &server() { return m_server; }

    /**
     * Binds and serves in a thread of its own.
     * @param address "IP:PORT"; port 0 chooses a free one
     * @return the port, or Unreachable if the address cannot be bound
     */
    Result<int> start(const std::string &address);

    /** Sets what /readyz answers: 200 if ready, 503 otherwise. */
    void setReady(bool ready) { m_ready = ready; }

    /** Stops serving and joins the thread. */
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
