#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/zones/view.h"

#include <string>

namespace dragonflysill {

/**
 * Reads a view from a file: a JSON array of {"key":...,"value":...}, where a value is the stored
 * JSON as text or as an object. For tests and benchmarks without a control process.
 * @return the view, NotFound if the file cannot be read, or Corrupt if it has another format
 */
Result<ViewPointer> readViewFile(const std::string &path);

} // namespace dragonflysill
