#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/wire/message.h"

#include <string>
#include <string_view>

namespace dragonflysill {

/** Encodes an envelope as FlatBuffers data, without the length prefix of the frame. */
std::string encodeEnvelope(const Envelope &envelope);

/** Verifies and decodes an envelope; Corrupt if the bytes are not a valid one. */
Result<Envelope> decodeEnvelope(std::string_view bytes);

} // namespace dragonflysill
