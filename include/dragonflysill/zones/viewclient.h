#pragma once

#include "dragonflysill/telemetry/timeline.h"
#include "dragonflysill/zones/memberreport.h"
#include "dragonflysill/zones/sharedview.h"

#include <memory>
#include <string>
#include <vector>

namespace dragonflysill {

/** The settings of a ViewClient. */
struct ViewClientSettings
{
    std::string controlAddress; ///< Peer address of the control process on this instance.
    std::string name; ///< Name of the entry instance.
    std::string region;
    std::string zone; ///< Availability zone.
};

/**
 * Synchronizes the view of an entry process with that of its control process: connects, sends
 * Hello, applies view deltas and full states, and reports the applied revision with the drained
 * instances. Reconnects with backoff and keeps the last view while the control process is down.
 * Owns its thread; the view and the timeline belong to the caller and must outlive it.
 */
class ViewClient
{
public:
    ViewClient(ViewClientSettings settings, SharedView &view, Timeline &timeline);
    ~ViewClient();

    /** Starts the thread. */
    void start();

    /** Stops and joins the thread. */
    void stop();

    /** Sets the drained instances to report; a changed list is sent at once. */
    void reportDrained(std::vector<DrainedInstance> drained);

    /** Returns true while the connection to the control process is open. */
    [[nodiscard]] bool connected() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace dragonflysill
