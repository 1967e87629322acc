#include "dragonflysill/base/frame.h"

#include <cstdint>

namespace dragonflysill {

namespace internal {

constexpr std::size_t lengthPrefixBytes = 4;
constexpr unsigned bitsPerByte = 8;
/** Memory that an empty reader keeps for the next frame; enough for most. */
constexpr std::size_t maxIdleBytes = 65536;

std::uint32_t readLength(std::string_view bytes)
{
    std::uint32_t length = 0;
    for (std::size_t n = 0; n < lengthPrefixBytes; ++n)
        length |= std::uint32_t{static_cast<unsigned char>(bytes[n])} << (bitsPerByte * n);
    return length;
}

} // namespace internal

Result<std::string> encodeFrame(std::string_view payload)
{
    if (payload.size() > maxPayloadBytes)
        return Error(ErrorKind::LimitExceeded,
                     "payload of " + std::to_string(payload.size()) + " bytes");
    std::string frame;
    frame.reserve(internal::lengthPrefixBytes + payload.size());
    for (std::size_t n = 0; n < internal::lengthPrefixBytes; ++n)
        frame += static_cast<char>((payload.size() >> (internal::bitsPerByte * n)) & 0xffU);
    frame += payload;
    return frame;
}

Result<std::optional<std::string>> FrameReader::next()
{
    const std::string_view rest = std::string_view(m_buffer).substr(m_offset);
    if (rest.size() >= internal::lengthPrefixBytes) {
        const std::size_t length = internal::readLength(rest);
        if (length > maxPayloadBytes)
            return Error(ErrorKind::LimitExceeded,
                         "frame header announces " + std::to_string(length) + " bytes");
        if (rest.size() >= internal::lengthPrefixBytes + length) {
            m_offset += internal::lengthPrefixBytes + length;
            return std::optional(std::string(rest.substr(internal::lengthPrefixBytes, length)));
        }
    }
    m_buffer.erase(0, m_offset);
    m_offset = 0;
    // The memory of a rare large frame is not kept.
    if (m_buffer.empty() && m_buffer.capacity() > internal::maxIdleBytes)
        m_buffer.shrink_to_fit();
    return std::optional<std::string>();
}

} // namespace dragonflysill
