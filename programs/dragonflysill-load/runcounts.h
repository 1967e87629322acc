#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/load/loadsummary.h"

#include <span>
#include <string>

namespace dragonflysill {

/**
 * Reads from backend stand-ins how often each request and key ran.
 * @param backends addresses of the stand-ins
 * @return the sums, or Unreachable or Corrupt with the address that could not be read
 */
Result<RunCounts> readRunCounts(std::span<const std::string> backends);

} // namespace dragonflysill
