#pragma once

#include "dragonflysill/jobs/job.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** The cost of asking which workers a queue's policy admits. */
struct WorkerAdmissionSettings
{
    Milliseconds perCall{0};
    Milliseconds perWorker{0};
    Milliseconds validity{0}; ///< How long a ticket admits a start.
};

/** A queue that callers submit jobs to. */
struct Queue
{
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string prefix; ///< Path prefix; a job's id follows it.
    std::string pool; ///< Pool whose workers run its tasks.
    Milliseconds timeout{0}; ///< Longest time a caller is kept waiting.
    QueuePolicy policy;
    std::optional<WorkerAdmissionSettings> workerAdmission; ///< Set if starts need a ticket.
};

/** A pool of workers as operators configure it. */
struct PoolSettings
{
    std::string name;
    bool rejectsOverload = true; ///< Its workers refuse tasks that exceed their capacity.
    bool standby = false; ///< Its machines are off and cost nothing.
};

/** Bounds of callers' requests. */
struct RequestLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 262144;
    Milliseconds headerTimeout{3000};
    Milliseconds idleTimeout{15000};
};

/** One version of the operators' configuration. */
struct FleetConfiguration
{
    std::int64_t version = 0;
    std::vector<Queue> queues;
    std::vector<PoolSettings> pools;
    RequestLimits limits;

    /**
     * Finds the queue of a request: among those of the host, the one with the longest prefix that
     * the path begins with.
     * @param host the Host header; a port and capitals are ignored
     * @return nothing if there is none
     */
    [[nodiscard]] const Queue *match(std::string_view host, std::string_view path) const;

    /** Returns a queue by name, or nothing. */
    [[nodiscard]] const Queue *queue(std::string_view name) const;

    /** Returns a pool's settings by name, or nothing. */
    [[nodiscard]] const PoolSettings *pool(std::string_view name) const;
};

} // namespace dragonflysill
