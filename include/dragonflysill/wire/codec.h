#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/wire/message.h"

#include <string>
#include <string_view>

namespace dragonflysill {

/** Returns the FlatBuffers form of an envelope, without the frame's length. */
std::string encodeEnvelope(const Envelope &envelope);

/** Verifies and decodes an envelope; Corrupt if the bytes are not a valid one. */
Result<Envelope> decodeEnvelope(std::string_view bytes);

} // namespace dragonflysill
