#include "dragonflysill/zones/peertable.h"

#include "dragonflysill/base/hash.h"

#include <algorithm>
#include <tuple>

namespace dragonflysill {

Peer *PeerTable::find(std::string_view name)
{
    const auto it = m_peers.find(name);
    return it == m_peers.end() ? nullptr : &it->second;
}

const Peer *PeerTable::find(std::string_view name) const
{
    const auto it = m_peers.find(name);
    return it == m_peers.end() ? nullptr : &it->second;
}

Peer *PeerTable::findByLink(LinkId link)
{
    for (auto &it : m_peers) {
        if (link != 0 && it.second.link == link)
            return &it.second;
    }
    return nullptr;
}

bool PeerTable::hasAddress(std::string_view address) const
{
    return std::any_of(m_peers.begin(), m_peers.end(),
                       [&](const auto &it) { return it.second.address == address; });
}

std::vector<std::string> rankRelays(std::string_view zone, std::vector<RelayCandidate> candidates)
{
    const auto score = [zone](const RelayCandidate &candidate) {
        std::string text("relay/");
        text += zone;
        text += '/';
        text += candidate.name;
        return std::make_tuple(!candidate.storeReachable, ~stableHash(text), candidate.name);
    };
    std::sort(candidates.begin(), candidates.end(),
              [&](const auto &a, const auto &b) { return score(a) < score(b); });
    std::vector<std::string> names;
    names.reserve(candidates.size());
    for (auto &it : candidates)
        names.push_back(std::move(it.name));
    return names;
}

} // namespace dragonflysill
