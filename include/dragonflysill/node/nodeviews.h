#pragma once

#include "dragonflysill/net/httpmessage.h"
#include "dragonflysill/node/jobservice.h"
#include "dragonflysill/node/scheduleowner.h"
#include "dragonflysill/node/statereplica.h"

#include <string>

namespace dragonflysill {

/** State of a node from which showNode() answers. */
struct NodeViewSource
{
    std::string node; ///< Name of this node.
    std::string zone;
    bool ready = false;
    bool storeReachable = false;
    const JobService &service;
    const StateReplica &replica;
    const ScheduleOwner *owner = nullptr; ///< Null while another node schedules.
    TimePoint now{};
};

/**
 * Answers read-only requests of operators: GET /v1/status, /v1/jobs, /v1/pools, /v1/delegates,
 * /v1/maintenance, /v1/explain/job/ID, /v1/explain/instance/NAME and
 * /v1/explain/route/HOST?path=PATH&team=TEAM, which says what a submission would be answered and
 * where it would go, without sending it. Bodies are JSON objects of scalars and lists of flat rows.
 * @return 404 for other targets and unknown names; 409 with the kind lease-lost and the owner's
 *     name if only the scheduling node can answer, for example about a job that has not ended; 405
 *     for other methods
 */
HttpResponse showNode(const NodeViewSource &source, const HttpRequest &request);

} // namespace dragonflysill
