#pragma once

#include "dragonflysill/base/result.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflysill {

/** Largest payload of a frame, in bytes; bounds what one connection can make a receiver hold. */
inline constexpr std::size_t frameLimit = std::size_t{4} * 1024 * 1024;

/** Returns the payload with its 4-byte little-endian length; LimitExceeded above frameLimit. */
Result<std::string> encodeFrame(std::string_view payload);

/** Splits a byte stream into frames. Not thread-safe. */
class FrameReader
{
public:
    /** Appends received bytes. */
    void append(std::string_view bytes) { m_buffer.append(bytes); }

    /**
     * Returns the next complete payload, nothing if more bytes are needed, or LimitExceeded if the
     * announced length is above frameLimit; after that the stream cannot be read further.
     */
    Result<std::optional<std::string>> next();

    /** Returns true if an incomplete frame is held, which at the end of a stream is an error. */
    [[nodiscard]] bool incomplete() const { return m_offset < m_buffer.size(); }

private:
    std::string m_buffer;
    std::size_t m_offset = 0;
};

} // namespace dragonflysill
