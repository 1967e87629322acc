#pragma once

#include "controlcontext.h"
#include "fleetmetrics.h"
#include "platformrequests.h"
#include "workerrequests.h"

#include "dragonflysill/machines/fleetpassscheduler.h"
#include "dragonflysill/machines/fleetrunner.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace dragonflysill {

/**
 * Runs the fleet decisions of a control process: a pass after each change of the view, at least
 * once per interval. Owns its thread; the context belongs to main() and must outlive it.
 */
class FleetLoop
{
public:
    /** Longest time between two passes; drains and warm-up times end within it. */
    static constexpr std::chrono::milliseconds passInterval{500};
    /** Shortest time between two passes, so that a burst of changes costs few store calls. */
    static constexpr std::chrono::milliseconds minPassInterval{50};

    explicit FleetLoop(ControlContext &context);
    ~FleetLoop();

    /** Starts the thread. */
    void start();

    /** Stops and joins the thread. */
    void stop();

private:
    void run();
    void pass();
    PassTrigger collectTrigger(std::int64_t revision);
    static FleetInputs collectInputs(const View &view, const PassTrigger &trigger,
                                     std::int64_t nowMs);
    void publish(const FleetReport &report, std::int64_t ticket);
    void publishError(const Error &error);
    bool waitForNextPass();

    ControlContext &m_context;
    PlatformRequests m_platform;
    WorkerRequests m_workers;
    FleetRunner m_runner;
    FleetPassScheduler m_gate;
    FleetMetrics m_metrics;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace dragonflysill
