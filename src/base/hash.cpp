#include "dragonflysill/base/hash.h"

namespace dragonflysill {

std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char ch : text) {
        hash ^= static_cast<unsigned char>(ch);
        hash *= 0x100000001b3ULL;
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

int rendezvousIndex(std::string_view key, std::span<const std::string> members)
{
    int best = -1;
    std::uint64_t bestWeight = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
        std::string text(key);
        text += '\n';
        text += members[i];
        const std::uint64_t weight = stableHash(text);
        if (best < 0 || weight > bestWeight) {
            best = static_cast<int>(i);
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace dragonflysill
