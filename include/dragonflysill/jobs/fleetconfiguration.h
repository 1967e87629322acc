#pragma once

#include "dragonflysill/jobs/job.h"
#include "dragonflysill/jobs/team.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** A queue that callers submit jobs to. */
struct Queue
{
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string prefix; ///< Path prefix, which is followed by the job's id.
    std::string pool; ///< Pool whose workers run its tasks.
    Milliseconds timeout{0}; ///< Maximum time until a caller gets a response.
    QueuePolicy policy;
    bool isPublic = false; ///< Callers need no key of a team.
};

/** Operators' settings of a pool. */
struct PoolSettings
{
    std::string name;
    bool rejectsOverload = true; ///< Its workers refuse tasks that exceed their capacity.
    bool standby = false; ///< Its instances are switched off and cost nothing.
};

/** Limits of callers' HTTP requests. */
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
    bool usesTeams = false; ///< Callers of queues that are not public need a key of a team.
    std::vector<Team> teams;

    /**
     * Returns the queue of a request: of the host's queues whose prefix the path begins with, the
     * one with the longest prefix.
     * @param host the Host header; its port and case are ignored
     * @return nullptr if no queue matches
     */
    [[nodiscard]] const Queue *match(std::string_view host, std::string_view path) const;

    /** Returns a queue by name; nullptr if there is none. */
    [[nodiscard]] const Queue *queue(std::string_view name) const;

    /** Returns a team by name; nullptr if there is none. */
    [[nodiscard]] const Team *team(std::string_view name) const;

    /** Returns a pool's settings by name; nullptr if there are none. */
    [[nodiscard]] const PoolSettings *pool(std::string_view name) const;
};

} // namespace dragonflysill
