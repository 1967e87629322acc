#pragma once

#include "dragonflysill/base/latencyhistogram.h"
#include "dragonflysill/base/time.h"

#include <optional>

namespace dragonflysill {

/** Load of a node over one report interval. */
struct LoadReport
{
    Duration period{0}; ///< Length of the interval.
    Duration processorTime{0}; ///< Processor time that the process used in it.
    Duration maxLoopDelay{0}; ///< Longest time by which the event loop ran a timer late.
};

/**
 * Measures how late the event loop runs and how much processor time the process uses. A periodic
 * timer of the loop reports each of its runs here.
 */
class LoadMonitor
{
public:
    /**
     * @param timerInterval interval of the periodic timer
     * @param reportInterval interval between two reports
     */
    LoadMonitor(Duration timerInterval, Duration reportInterval)
        : m_timerInterval(timerInterval)
        , m_reportInterval(reportInterval)
    {
    }

    /**
     * Records a run of the timer.
     * @param processorTime processor time that the process has used since its start
     * @return the load since the last report, once per report interval
     */
    std::optional<LoadReport> timerRan(TimePoint now, Duration processorTime);

    /** Returns how late the last run of the timer was. */
    [[nodiscard]] Duration lastDelay() const { return m_lastDelay; }
    [[nodiscard]] const LatencyHistogram &loopDelay() const { return m_loopDelay; }
    /** Returns the processor time that the process has used since its start. */
    [[nodiscard]] Duration processorTime() const { return m_processorTime; }

private:
    Duration m_timerInterval;
    Duration m_reportInterval;
    std::optional<TimePoint> m_lastRun;
    TimePoint m_reportedAt{};
    Duration m_reportedProcessorTime{0};
    Duration m_processorTime{0};
    Duration m_lastDelay{0};
    Duration m_maxLoopDelay{0};
    LatencyHistogram m_loopDelay;
};

} // namespace dragonflysill
