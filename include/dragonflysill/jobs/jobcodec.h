#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/jobs/job.h"
#include "dragonflysill/jobs/jobprogress.h"

#include <string>
#include <string_view>

namespace dragonflysill {

/** Encodes a job for the store, without its id, which is part of the key. */
std::string encodeJob(const SubmittedJob &job);

/**
 * Decodes a stored job.
 * @param id the job's id
 * @return Corrupt if the bytes are not a job
 */
Result<SubmittedJob> decodeJob(std::string_view id, std::string_view bytes);

/** Where a stored job comes from. */
struct JobOrigin
{
    std::string queue; ///< Name of its queue.
    std::string team; ///< Team that submitted it; empty for none.
};

/** Returns the queue and the team in a stored job; empty if the bytes are not a job. */
JobOrigin decodeOrigin(std::string_view bytes);

/** Returns the name of a status as it is stored and logged. */
std::string_view statusName(JobStatus status);

/** Encodes a job's progress for the store. */
std::string encodeProgress(const JobProgress &progress);

/** Decodes stored progress; returns Corrupt if the bytes are not a job's progress. */
Result<JobProgress> decodeProgress(std::string_view bytes);

/** Decodes only the job's state in stored progress; returns Corrupt if there is none. */
Result<JobStatus> decodeState(std::string_view bytes);

} // namespace dragonflysill
