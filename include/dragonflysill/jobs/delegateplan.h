#pragma once

#include "dragonflysill/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** A node that could keep the contact to workers for the owner of the schedule. */
struct DelegateCandidate
{
    std::string node;
    std::string address; ///< "IP:PORT" for requests of other nodes.
    std::string zone;
    int milliCores = 0; ///< Processor capacity.
    double linkBytesPerSecond = 0; ///< Bandwidth; 0 if unknown.

    bool operator==(const DelegateCandidate &) const = default;
};

/**
 * Decides which node keeps the contact to a worker for the owner of the schedule. Calls to workers
 * are the owner's largest cost; spread over other nodes they cost it a few bytes each. A worker
 * keeps its delegate as long as that node is a candidate, and moves to the next one in an order of
 * its own when its delegate fails, so that the workers of a lost node are spread over all others.
 */
class DelegatePlan
{
public:
    /** Number of workers up to which the owner calls them itself. */
    static constexpr std::size_t maxWorkersWithoutDelegates = 64;

    /**
     * Sets the nodes besides the owner and the number of workers. Only as many nodes become
     * delegates as the workers need, the most capable of each zone first.
     */
    void update(std::vector<DelegateCandidate> candidates, std::size_t workers);

    /** Records that a delegate did not answer; it is not used for a while. */
    void failed(std::string_view address, TimePoint now);

    /**
     * Returns the address of a worker's delegate; empty if the owner shall call the worker itself.
     */
    [[nodiscard]] std::string_view delegateFor(std::string_view worker, std::string_view zone,
                                               TimePoint now) const;

    /** Returns the delegates, ordered by node. */
    [[nodiscard]] const std::vector<DelegateCandidate> &delegates() const { return m_delegates; }

    /** Returns for how many workers a node can keep the contact. */
    [[nodiscard]] static double workersOf(const DelegateCandidate &node);

private:
    [[nodiscard]] bool usable(const DelegateCandidate &node, TimePoint now) const;

    std::vector<DelegateCandidate> m_candidates;
    std::vector<DelegateCandidate> m_delegates;
    std::size_t m_workers = 0;
    std::map<std::string, TimePoint, std::less<>> m_unusableUntil; ///< By address.
};

} // namespace dragonflysill
