#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/jobs/worker.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/**
 * Encodes the durable record of the workers of a pool that may have runs. The next owner must get a
 * response from each of them, or wait until their holds have expired, before it starts tasks that
 * may still run there.
 */
std::string encodeWorkerRecord(std::span<const WorkerDescription> workers);

/**
 * Decodes a record; only id, address, instance, pool, start time and whether the worker had
 * restarted are set. Corrupt for invalid bytes.
 */
Result<std::vector<WorkerDescription>> decodeWorkerRecord(std::string_view pool,
                                                          std::string_view bytes);

} // namespace dragonflysill
