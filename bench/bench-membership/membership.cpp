#include "membership.h"

#include <algorithm>
#include <numeric>

namespace dragonflysill {

namespace {

constexpr int gapsPerInterval = 10;
constexpr std::size_t gapBuckets = 2000;

} // namespace

std::string_view toText(Scheme scheme)
{
    switch (scheme) {
    case Scheme::Direct:
        return "direct";
    case Scheme::FlatGossip:
        return "flat gossip";
    case Scheme::MultiLevelGossip:
        break;
    }
    return "multi-level gossip";
}

MembershipSimulation::MembershipSimulation(const MembershipSetup &setup)
    : m_setup(setup)
    , m_random(setup.seed)
    , m_alive(index(setup.members), true)
    , m_counters(index(setup.members * setup.members))
    , m_lastIncrease(index(setup.members * setup.members))
    , m_gaps(gapBuckets)
{
    for (int n = 0; n < setup.members; ++n)
        m_phaseMs.push_back(m_random.unit() * setup.intervalMs);
    m_order.resize(index(setup.members));
    std::iota(m_order.begin(), m_order.end(), 0);
    std::sort(m_order.begin(), m_order.end(),
              [this](int a, int b) { return m_phaseMs[index(a)] < m_phaseMs[index(b)]; });
}

void MembershipSimulation::run(int intervals)
{
    for (int n = 0; n < intervals; ++n) {
        for (const int member : m_order) {
            m_nowMs = m_roundStartMs + m_phaseMs[index(member)];
            if (m_alive[index(member)])
                sendHeartbeat(member);
        }
        m_roundStartMs += m_setup.intervalMs;
        m_nowMs = m_roundStartMs;
    }
}

void MembershipSimulation::count(int from, int to)
{
    ++m_messages;
    m_messagesBetween += regionOf(from) != regionOf(to) ? 1 : 0;
}

void MembershipSimulation::sendHeartbeat(int member)
{
    updateCounter(member, member, m_counters[cell(member, member)] + 1);
    if (m_setup.scheme != Scheme::Direct) {
        const int target = chooseTarget(member);
        count(member, target);
        if (m_alive[index(target)] && !lost())
            merge(member, target);
        return;
    }
    for (int n = 0; n < m_setup.members; ++n) {
        if (n == member)
            continue;
        count(member, n);
        if (m_alive[index(n)] && !lost())
            updateCounter(n, member, m_counters[cell(member, member)]);
    }
}

void MembershipSimulation::merge(int from, int to)
{
    for (int n = 0; n < m_setup.members; ++n)
        updateCounter(to, n, m_counters[cell(from, n)]);
}

void MembershipSimulation::updateCounter(int observer, int member, std::uint32_t counter)
{
    std::uint32_t &known = m_counters[cell(observer, member)];
    if (counter <= known)
        return;
    known = counter;
    double &last = m_lastIncrease[cell(observer, member)];
    const double gap = m_nowMs - last;
    last = m_nowMs;
    if (observer == member || !m_alive[index(member)])
        return;
    m_longestGapMs = std::max(m_longestGapMs, gap);
    const auto bucket = static_cast<std::size_t>(gap / m_setup.intervalMs * gapsPerInterval);
    ++m_gaps[std::min(bucket, gapBuckets - 1)];
}

int MembershipSimulation::chooseTarget(int member)
{
    if (m_setup.scheme == Scheme::MultiLevelGossip) {
        const double inZone = static_cast<double>(m_setup.members) / m_setup.zones;
        const double zonesInRegion = std::max(1.0, m_setup.zones / 2.0);
        const double draw = m_random.unit();
        if (draw < 1 / (inZone * zonesInRegion))
            return chooseWhere(member, false, false);
        if (draw < 1 / (inZone * zonesInRegion) + 1 / inZone)
            return chooseWhere(member, false, true);
        return chooseWhere(member, true, true);
    }
    const auto target = static_cast<int>(m_random.below(index(m_setup.members - 1)));
    return target < member ? target : target + 1;
}

int MembershipSimulation::chooseWhere(int member, bool sameZone, bool sameRegion)
{
    std::vector<int> candidates;
    for (int n = 0; n < m_setup.members; ++n) {
        if (n != member && (zoneOf(n) == zoneOf(member)) == sameZone
            && (regionOf(n) == regionOf(member)) == sameRegion)
            candidates.push_back(n);
    }
    if (candidates.empty())
        return (member + 1) % m_setup.members;
    return candidates[m_random.below(candidates.size())];
}

std::int64_t MembershipSimulation::gapsAbove(double intervals) const
{
    const auto first = static_cast<std::ptrdiff_t>(intervals * gapsPerInterval);
    return std::accumulate(m_gaps.begin() + first, m_gaps.end(), std::int64_t{0});
}

void MembershipSimulation::resetStatistics()
{
    std::fill(m_gaps.begin(), m_gaps.end(), 0);
    m_longestGapMs = 0;
    m_messages = 0;
    m_messagesBetween = 0;
}

} // namespace dragonflysill
