#pragma once

#include "dragonflysill/base/result.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdint>
#include <stdexcept>
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
    } catch (const Json::parse_error &e) {
        // The library's text quotes the input, which may contain credentials.
        return Error(ErrorKind::Corrupt, "JSON syntax error at byte " + std::to_string(e.byte));
    } catch (const std::exception &e) {
        return Error(ErrorKind::Corrupt, e.what());
    }
}

/**
 * Returns a number from @p min to @p max, which may have a fraction; both must be exact as a
 * double.
 * @throws std::out_of_range for other values
 */
inline double numberIn(const Json &json, std::int64_t min, std::int64_t max)
{
    const auto number = json.is_number() ? json.get<double>() : std::nan("");
    if (!(number >= static_cast<double>(min) && number <= static_cast<double>(max)))
        throw std::out_of_range("not a number from " + std::to_string(min) + " to "
                                + std::to_string(max));
    return number;
}

/**
 * Returns a whole number from @p min to @p max; both must be exact as a double. Json::get()
 * converts numbers that don't fit, fractions too, to other numbers.
 * @throws std::out_of_range for other values
 */
inline std::int64_t integerIn(const Json &json, std::int64_t min, std::int64_t max)
{
    // Numbers that only a double holds are compared before they are converted.
    const auto number = json.is_number() ? json.get<double>() : std::nan("");
    if (!(number >= static_cast<double>(min) && number <= static_cast<double>(max))
        || std::trunc(number) != number)
        throw std::out_of_range("not a whole number from " + std::to_string(min) + " to "
                                + std::to_string(max));
    return json.get<std::int64_t>();
}

} // namespace dragonflysill
