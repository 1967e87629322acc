#pragma once

#include "dragonflysill/store/fence.h"
#include "dragonflysill/store/store.h"
#include "dragonflysill/telemetry/timeline.h"
#include "dragonflysill/zones/memberreport.h"
#include "dragonflysill/zones/sharedview.h"
#include "dragonflysill/zones/zonenode.h"

#include <functional>
#include <memory>
#include <string>

namespace dragonflysill {

/** Figures of a ZoneService for metrics. */
struct ZoneMetrics
{
    std::int64_t viewRevision = 0;
    std::int64_t ticket = 0;
    std::int64_t members = 0; ///< Live members, this one included.
    std::int64_t subscribers = 0;
    bool watching = false;
    bool isRelay = false;
    std::int64_t storeRegressed = 0; ///< Times that the store answered with an older state.
    std::int64_t registrations = 0; ///< Times that the member key was written.
    std::int64_t corruptValues = 0;
    LoopTraffic traffic;
};

/** The settings of a ZoneService. */
struct ZoneServiceSettings
{
    ZoneSettings zone;
    /** Where frames are accepted; port 0 chooses a free one. It becomes the peer address. */
    std::string listenAddress;
    std::int64_t leaseSeconds = 5;
};

/**
 * Runs a ZoneNode: frames over TCP, the registration with its lease, and the watch on the store
 * while this process is the relay. Owns three threads: the message loop, the registration and the
 * watch. Everything that is passed in belongs to the caller and must outlive it.
 */
class ZoneService
{
public:
    ZoneService(ZoneServiceSettings settings, Store &store, SharedView &view,
                MemberReports &reports, Fence &fence, Timeline &timeline);
    ~ZoneService();

    /** Sets the function that is called when readiness changes; call it before start(). */
    void onReadinessChange(std::function<void(bool)> function);

    /** Binds the peer address and starts; returns the port or Unreachable. */
    Result<int> start();

    /** Announces the stop to peers, revokes the lease and joins the threads. */
    void stop();

    /** Returns the current figures. Thread-safe. */
    [[nodiscard]] ZoneMetrics metrics() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace dragonflysill
