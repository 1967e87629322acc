#include "dragonflysill/jobs/delegateplan.h"

#include "dragonflysill/base/hash.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Processor time that the contact to a busy worker takes, in milli-cores. */
constexpr double milliCoresPerWorker = 5;
/** Bytes that a busy worker and its delegate exchange in a second. */
constexpr double bytesPerWorker = 9000;
/** Part of a delegate's bandwidth that its workers may take. */
constexpr double linkShare = 0.4;
/** Number of workers of a node whose capacity is unknown. */
constexpr double defaultWorkers = 20;
/** Largest part of all workers that one delegate keeps the contact to. */
constexpr double maxShare = 0.125;
/** Time for which a delegate that did not answer is not used. */
constexpr Duration failurePause = 2000ms;

/** Returns the score of a node for a worker; the node with the highest one is its delegate. */
double rendezvousScore(std::string_view worker, const DelegateCandidate &node, double weight)
{
    std::string key(worker);
    key += '@';
    key += node.node;
    const double unit = (static_cast<double>(stableHash(key)) + 1)
                        / (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
    return -weight / std::log(unit);
}

} // namespace internal

double DelegatePlan::workersOf(const DelegateCandidate &node)
{
    const double byProcessor = node.milliCores > 0 ? node.milliCores / internal::milliCoresPerWorker
                                                   : internal::defaultWorkers;
    if (node.linkBytesPerSecond <= 0)
        return byProcessor;
    return std::min(byProcessor,
                    node.linkBytesPerSecond * internal::linkShare / internal::bytesPerWorker);
}

void DelegatePlan::update(std::vector<DelegateCandidate> candidates, std::size_t workers)
{
    std::ranges::sort(candidates, {}, &DelegateCandidate::node);
    if (candidates == m_candidates && workers == m_workers)
        return;
    m_candidates = candidates;
    m_workers = workers;
    m_delegates.clear();
    if (workers <= maxWorkersWithoutDelegates)
        return;
    // The zones take turns, so that each gets delegates.
    std::map<std::string, std::vector<DelegateCandidate>> zones;
    for (auto &it : candidates) {
        if (!it.address.empty())
            zones[it.zone].push_back(std::move(it));
    }
    for (auto &[zone, nodes] : zones)
        std::ranges::stable_sort(nodes, std::ranges::greater{}, &workersOf);
    const double share = internal::maxShare * static_cast<double>(workers);
    double covered = 0;
    for (std::size_t n = 0; covered < static_cast<double>(workers); ++n) {
        bool any = false;
        for (auto &[zone, nodes] : zones) {
            if (n >= nodes.size())
                continue;
            any = true;
            covered += std::min(share, workersOf(nodes[n]));
            m_delegates.push_back(nodes[n]);
        }
        if (!any)
            break;
    }
    std::ranges::sort(m_delegates, {}, &DelegateCandidate::node);
}

void DelegatePlan::failed(std::string_view address, TimePoint now)
{
    m_unusableUntil[std::string(address)] = now + internal::failurePause;
}

bool DelegatePlan::usable(const DelegateCandidate &node, TimePoint now) const
{
    const auto it = m_unusableUntil.find(node.address);
    return it == m_unusableUntil.end() || now >= it->second;
}

std::string_view DelegatePlan::delegateFor(std::string_view worker, std::string_view zone,
                                           TimePoint now) const
{
    const DelegateCandidate *best = nullptr;
    std::pair<bool, double> bestScore;
    const double share = internal::maxShare * static_cast<double>(m_workers);
    for (const auto &it : m_delegates) {
        if (!usable(it, now))
            continue;
        const std::pair score(it.zone == zone, internal::rendezvousScore(
                                                       worker, it, std::min(share, workersOf(it))));
        if (best == nullptr || score > bestScore) {
            best = &it;
            bestScore = score;
        }
    }
    return best == nullptr ? std::string_view() : std::string_view(best->address);
}

} // namespace dragonflysill
