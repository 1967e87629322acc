#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace dragonflysill {

/** Hash of strings that lets a container find a std::string_view without a copy. */
struct StringHash
{
    using is_transparent = void; // NOLINT(readability-identifier-naming)

    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>{}(text);
    }
};

/** Map with string keys that can be found by std::string_view. */
template <typename Value>
using StringMap = std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

} // namespace dragonflysill
