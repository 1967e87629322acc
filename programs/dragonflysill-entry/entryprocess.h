#pragma once

#include "connectionpool.h"
#include "deadlineguard.h"
#include "dispatchhub.h"
#include "entrymetrics.h"
#include "entryserver.h"
#include "entrysettings.h"
#include "exchange.h"
#include "requesthandler.h"

#include "dragonflysill/base/result.h"
#include "dragonflysill/telemetry/adminserver.h"
#include "dragonflysill/telemetry/timeline.h"
#include "dragonflysill/zones/sharedview.h"
#include "dragonflysill/zones/viewclient.h"

#include <prometheus/registry.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace dragonflysill {

/** All parts of an entry process, in the order in which they depend on each other. */
class EntryProcess
{
public:
    explicit EntryProcess(EntrySettings settings);
    ~EntryProcess();

    /** Starts serving; an error if an address cannot be bound or the view file is unusable. */
    Result<Done> start();

    /**
     * Stops gracefully: not ready, then no longer accepting, then every request in flight finishes,
     * then all instances are reported as drained.
     */
    void stop();

private:
    Result<Done> startView();
    void installView(const ViewPointer &view);
    void runHousekeeping();
    void housekeep();
    void reportAllDrained();
    void stopHousekeeping();

    const EntrySettings m_settings;
    std::shared_ptr<prometheus::Registry> m_registry;
    Timeline m_timeline;
    EntryMetrics m_metrics;
    SharedView m_view;
    DispatchHub m_hub;
    ConnectionPool m_connections;
    DeadlineGuard m_guard;
    Exchange m_exchange;
    RequestHandler m_handler;
    AdminServer m_admin;
    EntryServer m_server;
    std::unique_ptr<ViewClient> m_viewClient; ///< Null with a view file.
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::thread m_housekeeping;
};

} // namespace dragonflysill
