#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/links/backendclient.h"
#include "dragonflysill/links/claimwriter.h"
#include "dragonflysill/links/connectionpool.h"
#include "dragonflysill/links/entrymetrics.h"
#include "dragonflysill/links/entryserver.h"
#include "dragonflysill/links/requestdispatcher.h"
#include "dragonflysill/links/requesthandler.h"
#include "dragonflysill/store/storeclient.h"
#include "dragonflysill/telemetry/adminserver.h"
#include "dragonflysill/telemetry/timeline.h"
#include "dragonflysill/zones/sharedview.h"
#include "dragonflysill/zones/viewclient.h"
#include "entrysettings.h"

#include <prometheus/registry.h>

#include <atomic>
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
    static std::unique_ptr<StoreClient> makeStore(const EntrySettings &settings);
    static std::unique_ptr<ClaimWriter> makeClaims(const EntrySettings &settings, Store *store);
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
    RequestDispatcher m_hub;
    ConnectionPool m_connections;
    BackendClient m_exchange;
    std::unique_ptr<StoreClient> m_store; ///< Null without --store, as is m_claims.
    std::unique_ptr<ClaimWriter> m_claims;
    RequestHandler m_handler;
    AdminServer m_admin;
    EntryServer m_server;
    std::unique_ptr<ViewClient> m_viewClient; ///< Null with a view file.
    std::atomic<bool> m_readyAllowed = true; ///< False while stopping.
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_viewChanged = false;
    bool m_stopping = false;
    std::thread m_housekeeping;
};

} // namespace dragonflysill
