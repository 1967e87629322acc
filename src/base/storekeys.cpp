#include "dragonflysill/base/storekeys.h"

namespace dragonflysill::storekeys {

std::string join(std::string_view prefix, std::string_view name)
{
    std::string key(prefix);
    key += name;
    return key;
}

std::string ticket(std::int64_t number)
{
    constexpr std::size_t digits = 10;
    std::string text = std::to_string(number);
    if (text.size() < digits)
        text.insert(0, digits - text.size(), '0');
    return join(tickets, text);
}

std::string rangeEnd(std::string_view prefix)
{
    std::string end(prefix);
    while (!end.empty()) {
        auto &last = end.back();
        if (static_cast<unsigned char>(last) < 0xff) {
            last = static_cast<char>(static_cast<unsigned char>(last) + 1);
            return end;
        }
        end.pop_back();
    }
    return std::string(1, '\0');
}

} // namespace dragonflysill::storekeys
