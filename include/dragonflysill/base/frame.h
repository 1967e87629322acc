#pragma once

#include "dragonflysill/base/result.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflysill {

/** Maximum payload size of a frame; bounds the memory that a peer can make a receiver allocate. */
inline constexpr std::size_t maxPayloadBytes = std::size_t{4} * 1024 * 1024;

/** Prefixes a payload with its 4-byte little-endian length; LimitExceeded above maxPayloadBytes. */
Result<std::string> encodeFrame(std::string_view payload);

/** Splits a byte stream into frames. Not thread-safe. */
class FrameReader
{
public:
    /** Appends received bytes. */
    void append(std::string_view bytes) { m_buffer.append(bytes); }

    /**
     * Returns the next complete payload, nothing if more bytes are needed, or LimitExceeded if the
     * announced length is above maxPayloadBytes; the rest of the stream is then unreadable.
     */
    Result<std::optional<std::string>> next();

    /** Returns true if part of a frame is buffered; at the end of a stream this is an error. */
    [[nodiscard]] bool hasIncompleteFrame() const { return m_offset < m_buffer.size(); }

    /** Returns the memory that is held for bytes that have not been returned. */
    [[nodiscard]] std::size_t heldBytes() const { return m_buffer.capacity(); }

private:
    std::string m_buffer;
    std::size_t m_offset = 0;
};

} // namespace dragonflysill
