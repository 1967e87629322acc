#include "dragonflysill/links/headers.h"

#include <algorithm>
#include <array>

namespace dragonflysill {

namespace internal {

constexpr std::array<std::string_view, 9> hopByHopNames{
        "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Proxy-Authorization",
        "TE",         "Trailer",    "Transfer-Encoding",  "Upgrade",
};

/** Like std::tolower, but inlined and independent of the locale; header names are ASCII. */
constexpr char toLowerAscii(char ch)
{
    return ch >= 'A' && ch <= 'Z' ? static_cast<char>(ch + ('a' - 'A')) : ch;
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

bool listContains(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        if (sameHeaderName(trim(list.substr(0, comma)), name))
            return true;
        if (comma == std::string_view::npos)
            break;
        list.remove_prefix(comma + 1);
    }
    return false;
}

} // namespace internal

bool sameHeaderName(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return internal::toLowerAscii(x) == internal::toLowerAscii(y);
           });
}

bool isHopByHop(std::string_view name, std::string_view connection)
{
    const auto matches = [name](std::string_view it) { return sameHeaderName(it, name); };
    return std::any_of(internal::hopByHopNames.begin(), internal::hopByHopNames.end(), matches)
           || internal::listContains(connection, name);
}

bool isSafeHeaderValue(std::string_view value)
{
    return value.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

} // namespace dragonflysill
