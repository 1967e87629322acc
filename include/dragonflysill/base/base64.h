#pragma once

#include "dragonflysill/base/result.h"

#include <string>
#include <string_view>

namespace dragonflysill {

/** Encodes bytes as standard base64 with padding (RFC 4648, section 4). */
std::string encodeBase64(std::string_view bytes);

/** Decodes standard base64 with padding; Corrupt if the text is malformed. */
Result<std::string> decodeBase64(std::string_view text);

} // namespace dragonflysill
