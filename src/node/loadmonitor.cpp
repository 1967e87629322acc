#include "dragonflysill/node/loadmonitor.h"

#include <algorithm>
#include <utility>

namespace dragonflysill {

std::optional<LoadReport> LoadMonitor::timerRan(TimePoint now, Duration processorTime)
{
    m_processorTime = processorTime;
    if (!m_lastRun) {
        m_lastRun = now;
        m_reportedAt = now;
        m_reportedProcessorTime = processorTime;
        return std::nullopt;
    }
    m_lastDelay = std::max(Duration{0}, now - *m_lastRun - m_timerInterval);
    m_lastRun = now;
    m_loopDelay.observe(m_lastDelay);
    m_maxLoopDelay = std::max(m_maxLoopDelay, m_lastDelay);
    if (now - m_reportedAt < m_reportInterval)
        return std::nullopt;
    return LoadReport{now - std::exchange(m_reportedAt, now),
                      processorTime - std::exchange(m_reportedProcessorTime, processorTime),
                      std::exchange(m_maxLoopDelay, Duration{0})};
}

} // namespace dragonflysill
