#pragma once

#include "dragonflysill/net/connectionbudget.h"
#include "dragonflysill/net/httptraffic.h"
#include "dragonflysill/node/jobservice.h"
#include "dragonflysill/node/loadmonitor.h"
#include "dragonflysill/node/scheduleowner.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dragonflysill {

/** Values from which renderMetrics() renders the metrics of a node. */
struct NodeMetrics
{
    const JobServiceCounts &service;
    const LatencyHistogram &submissionLatency;
    const ScheduleOwner *owner = nullptr; ///< Null while another node schedules.
    bool ready = false;
    bool storeReachable = false;
    std::int64_t configurationVersion = 0;
    std::uint64_t configurationsRefused = 0;
    std::int64_t refusedRevision = 0; ///< Revision of the newest configuration if it was refused.
    std::optional<Duration> proofAge; ///< Empty without teams and without a proof.
    std::uint64_t storeCalls = 0;
    std::size_t callerConnections = 0;
    std::size_t jobsKnown = 0;
    const LoadMonitor &load;
    /** Traffic by peer: store, holds, orders, services and callers. */
    std::vector<std::pair<std::string, const HttpTraffic &>> traffic;
    const ConnectionBudget &connections;
};

/** Returns the metrics in the text format of Prometheus. */
std::string renderMetrics(const NodeMetrics &metrics);

} // namespace dragonflysill
