#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/jobs/job.h"
#include "dragonflysill/store/asyncstore.h"

#include <functional>
#include <string>

namespace dragonflysill {

/** State of a job according to the store. */
struct StoredStatus
{
    JobStatus status = JobStatus::Queued;
    std::string team; ///< Team that submitted it; empty for none.
};

/**
 * Reads the status of a job from the store, for nodes that do not follow the jobs.
 * @param callback receives the status; NotFound if the store has no such job, or the error of a
 * call that failed
 */
void readStoredStatus(AsyncStore &store, const std::string &job,
                      std::function<void(Result<StoredStatus>)> callback);

} // namespace dragonflysill
