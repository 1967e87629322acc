#pragma once

#include "dragonflysill/base/result.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace dragonflysill {

using Json = nlohmann::json;

/** Returns the compact JSON text; invalid UTF-8 is replaced. */
inline std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/**
 * Parses JSON text and decodes it.
 * @return Corrupt on syntax errors and on missing or mistyped fields
 */
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
