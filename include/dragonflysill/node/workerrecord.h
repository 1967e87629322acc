#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/jobs/worker.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/**
 * The durable record of a pool's workers that may hold runs: the next owner must hear from each of
 * them, or wait until their holds have ended, before it starts tasks that may run there.
 */
std::string encodeWorkerRecord(std::span<const WorkerDescription> workers);

/** Reads a record; only id, address, instance, pool and birth are set. Corrupt for other bytes. */
Result<std::vector<WorkerDescription>> decodeWorkerRecord(std::string_view pool,
                                                          std::string_view bytes);

} // namespace dragonflysill
