#pragma once

#include "dragonflysill/base/random.h"

#include <string>

namespace dragonflysill::test {

/** Returns a message with some bytes changed, repeated or removed, or without its end. */
inline std::string damaged(std::string message, Random &random)
{
    for (std::size_t k = 1 + random.below(4); k > 0; --k) {
        const auto at = random.below(message.size());
        switch (random.below(4)) {
        case 0:
            message[at] = static_cast<char>(random.below(256));
            break;
        case 1:
            message.resize(at + 1);
            break;
        case 2:
            message.insert(at, message.substr(at, random.below(20)));
            break;
        default:
            message.erase(at, 1 + random.below(10));
            break;
        }
        if (message.empty())
            message = "{";
    }
    return message;
}

} // namespace dragonflysill::test
