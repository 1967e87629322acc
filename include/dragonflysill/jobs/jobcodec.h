#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/jobs/job.h"
#include "dragonflysill/jobs/jobprogress.h"

#include <string>
#include <string_view>

namespace dragonflysill {

/** Returns the stored form of a job, without its id, which is part of the key. */
std::string encodeJob(const SubmittedJob &job);

/**
 * Reads a stored job.
 * @param id the job's id
 * @return Corrupt if the bytes are not a job
 */
Result<SubmittedJob> decodeJob(std::string_view id, std::string_view bytes);

/** Returns the name of a stored job's queue; empty if the bytes are not a job. */
std::string decodeQueueName(std::string_view bytes);

/** Returns the name of a status as it is stored and logged. */
std::string_view statusName(JobStatus status);

/** Returns the stored form of a job's progress. */
std::string encodeProgress(const JobProgress &progress);

/** Reads a job's stored progress; Corrupt if the bytes are none. */
Result<JobProgress> decodeProgress(std::string_view bytes);

/** Returns the state in stored progress without reading the rest; Corrupt if there is none. */
Result<JobStatus> decodeState(std::string_view bytes);

} // namespace dragonflysill
