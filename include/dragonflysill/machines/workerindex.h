#pragma once

#include "dragonflysill/base/resources.h"

#include <cstddef>
#include <vector>

namespace dragonflysill {

/**
 * Finds the first position of a range whose resources cover a need. Implemented as a segment tree
 * with the maximum of each resource: a search skips every subtree that lacks one of them, and an
 * update changes one path. A search takes O(log n) unless free cores, memory and accelerators are
 * on different workers.
 */
class WorkerIndex
{
public:
    /** Clears the index and resizes it to @p size positions without resources. */
    void reset(std::size_t size);

    /** Sets the resources of a position. */
    void set(std::size_t position, const Resources &resources);

    /** Returns the resources of a position. */
    [[nodiscard]] const Resources &at(std::size_t position) const
    {
        return m_nodes[m_leaves + position];
    }

    /** Returns the first position in [from, to) that covers the need, or -1. */
    [[nodiscard]] int findFirst(std::size_t from, std::size_t to, const Resources &need) const;

private:
    [[nodiscard]] int find(std::size_t node, std::size_t low, std::size_t high, std::size_t from,
                           std::size_t to, const Resources &need) const;

    std::size_t m_leaves = 1;
    std::vector<Resources> m_nodes;
};

} // namespace dragonflysill
