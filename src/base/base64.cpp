#include "dragonflysill/base/base64.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace dragonflysill {

namespace internal {

constexpr std::string_view alphabet
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::uint8_t notInAlphabet = 0xff;

constexpr std::array<std::uint8_t, 256> makeDecodeTable()
{
    std::array<std::uint8_t, 256> table{};
    table.fill(notInAlphabet);
    for (std::size_t n = 0; n < alphabet.size(); ++n)
        table[static_cast<unsigned char>(alphabet[n])] = static_cast<std::uint8_t>(n);
    return table;
}

constexpr auto decodeTable = makeDecodeTable();

std::uint32_t byteAt(std::string_view bytes, std::size_t index)
{
    return index < bytes.size() ? static_cast<unsigned char>(bytes[index]) : 0U;
}

} // namespace internal

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        const std::uint32_t group = internal::byteAt(bytes, n) << 16U
                                    | internal::byteAt(bytes, n + 1) << 8U
                                    | internal::byteAt(bytes, n + 2);
        text += internal::alphabet[group >> 18U];
        text += internal::alphabet[group >> 12U & 63U];
        text += n + 1 < bytes.size() ? internal::alphabet[group >> 6U & 63U] : '=';
        text += n + 2 < bytes.size() ? internal::alphabet[group & 63U] : '=';
    }
    return text;
}

Result<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % 4 != 0)
        return Error(ErrorKind::Corrupt, "the length of the base64 text is not a multiple of 4");
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    std::string bytes;
    bytes.reserve(text.size() / 4 * 3);
    std::uint32_t group = 0;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const bool isPadding = n + padding >= text.size();
        const std::uint8_t digit
                = isPadding ? 0 : internal::decodeTable[static_cast<unsigned char>(text[n])];
        if (digit == internal::notInAlphabet)
            return Error(ErrorKind::Corrupt, "the base64 text has an invalid character");
        group = group << 6U | digit;
        if (n % 4 != 3)
            continue;
        bytes += static_cast<char>(group >> 16U & 255U);
        bytes += static_cast<char>(group >> 8U & 255U);
        bytes += static_cast<char>(group & 255U);
        group = 0;
    }
    bytes.resize(bytes.size() - padding);
    return bytes;
}

} // namespace dragonflysill
