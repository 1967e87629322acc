#pragma once

#include "dragonflysill/base/result.h"

#include <string>
#include <string_view>

namespace dragonflysill {

/** Returns the standard base64 form with padding (RFC 4648, section 4). */
std::string encodeBase64(std::string_view bytes);

/** Decodes standard base64 with padding; Corrupt if the text is not in that form. */
Result<std::string> decodeBase64(std::string_view text);

} // namespace dragonflysill
