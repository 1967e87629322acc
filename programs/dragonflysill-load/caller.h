#pragma once

#include "dragonflysill/load/loadsummary.h"
#include "dragonflysill/load/requestmix.h"
#include "targets.h"

#include <httplib.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace dragonflysill {

/** One request to send. */
struct PlannedRequest
{
    Duration arrival{};
    const RequestKind *kind = nullptr; ///< Belongs to the request mix.
    std::string requestId;
    std::string key; ///< Idempotency-Key; empty for none.
    bool useOtherTarget = false; ///< A repeat of the request before it, through another target.
};

/** How callers behave. */
struct CallerSettings
{
    std::chrono::milliseconds deadline{1000};
    bool sendDeadline = true; ///< Send Dragonflysill-Deadline-Ms.
};

/**
 * Sends requests one at a time over kept-alive connections, one for each target, and checks each
 * response against its request. Used by one thread.
 */
class Caller
{
public:
    Caller(CallerSettings settings, Targets &targets);

    /** Sends a request and waits for its outcome; tries another target if none was reached. */
    Attempt send(const PlannedRequest &request);

private:
    httplib::Client &client(std::size_t target);
    httplib::Request makeRequest(const PlannedRequest &request) const;
    void judge(Attempt &attempt, const PlannedRequest &request,
               const httplib::Response &response) const;

    CallerSettings m_settings;
    Targets &m_targets;
    std::map<std::size_t, std::unique_ptr<httplib::Client>> m_clients;
    std::size_t m_lastTarget;
};

} // namespace dragonflysill
