#pragma once

#include "dragonflysill/base/result.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace dragonflysill {

using Json = nlohmann::json;

/** Returns compact text; bytes that are not UTF-8 are replaced. */
inline std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/** Runs a decoder on parsed text; missing fields and other types give Corrupt. */
template <typename T, typename Decode>
Result<T> decodeJson(std::string_view text, Decode decode)
{
    try {
        return decode(Json::parse(text));
    } catch (const std::exception &e) {
        return Error(ErrorKind::Corrupt, e.what());
    }
}

} // namespace dragonflysill
