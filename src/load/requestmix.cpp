#include "dragonflysill/load/requestmix.h"

#include <charconv>
#include <optional>
#include <sstream>

namespace dragonflysill {

namespace internal {

std::optional<int> parseNonNegativeInt(std::string_view text)
{
    int value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size() || value < 0)
        return std::nullopt;
    return value;
}

bool applyOption(RequestKind &kind, std::string_view option)
{
    if (option == "keyed") {
        kind.hasIdempotencyKey = true;
        return true;
    }
    const auto equals = option.find('=');
    if (equals == std::string_view::npos)
        return false;
    const auto value = parseNonNegativeInt(option.substr(equals + 1));
    if (!value)
        return false;
    if (option.starts_with("weight=") && *value > 0)
        kind.weight = *value;
    else if (option.starts_with("body="))
        kind.bodyBytes = *value;
    else
        return false;
    return true;
}

Result<RequestKind> parseKind(const std::string &text)
{
    std::istringstream words(text);
    RequestKind kind;
    words >> kind.method >> kind.path;
    const bool known = kind.method == "GET" || kind.method == "POST";
    if (!known || !kind.path.starts_with('/'))
        return Error(ErrorKind::InvalidInput, "'" + text + "' is not METHOD /PATH [OPTION]...");
    std::string option;
    while (words >> option) {
        if (!applyOption(kind, option))
            return Error(ErrorKind::InvalidInput,
                         "'" + option + "' is not weight=N, keyed or body=BYTES");
    }
    return kind;
}

} // namespace internal

Result<RequestMix> RequestMix::parse(std::string_view text)
{
    RequestMix mix;
    std::istringstream parts{std::string(text)};
    std::string part;
    while (std::getline(parts, part, ',')) {
        auto kind = internal::parseKind(part);
        if (!kind)
            return kind.error();
        mix.m_totalWeight += kind->weight;
        mix.m_kinds.push_back(std::move(*kind));
    }
    if (mix.m_kinds.empty())
        return Error(ErrorKind::InvalidInput, "the mix is empty");
    return mix;
}

const RequestKind &RequestMix::choose(Random &random) const
{
    double point = random.unit() * m_totalWeight;
    for (const auto &it : m_kinds) {
        if (point < it.weight)
            return it;
        point -= it.weight;
    }
    return m_kinds.back();
}

} // namespace dragonflysill
