#include "dragonflysill/net/httpmessage.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace dragonflysill {

std::string_view HttpRequest::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (boost::algorithm::iequals(key, name))
            return value;
    }
    return {};
}

std::string percentEncode(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    static constexpr std::string_view unreserved = "-._~/";
    std::string encoded;
    encoded.reserve(text.size());
    for (const unsigned char c : text) {
        if (std::isalnum(c) != 0
            || unreserved.find(static_cast<char>(c)) != std::string_view::npos) {
            encoded += static_cast<char>(c);
            continue;
        }
        encoded += '%';
        encoded += digits[c >> 4U];
        encoded += digits[c & 15U];
    }
    return encoded;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t n = 0; n < text.size(); ++n) {
        unsigned char c = 0;
        const auto digits = text.substr(std::min(n + 1, text.size()), 2);
        const auto *end = digits.data() + digits.size();
        if (text[n] == '%' && digits.size() == 2
            && std::from_chars(digits.data(), end, c, 16).ptr == end) {
            decoded += static_cast<char>(c);
            n += digits.size();
        } else {
            decoded += text[n];
        }
    }
    return decoded;
}

} // namespace dragonflysill
