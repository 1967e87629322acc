#include "dragonflysill/machines/workerindex.h"

#include <algorithm>

namespace dragonflysill {

namespace internal {

/** Marks a position that no search finds; negative, so that it covers no need. */
constexpr Resources noResources{-1, -1, -1};

Resources componentMax(const Resources &a, const Resources &b)
{
    return {std::max(a.milliCores, b.milliCores), std::max(a.memoryMb, b.memoryMb),
            std::max(a.accelerators, b.accelerators)};
}

} // namespace internal

void WorkerIndex::reset(std::size_t size)
{
    m_leaves = 1;
    while (m_leaves < size)
        m_leaves *= 2;
    m_nodes.assign(2 * m_leaves, internal::noResources);
}

void WorkerIndex::set(std::size_t position, const Resources &resources)
{
    std::size_t node = m_leaves + position;
    m_nodes[node] = resources;
    for (node /= 2; node >= 1; node /= 2) {
        const auto next = internal::componentMax(m_nodes[2 * node], m_nodes[2 * node + 1]);
        if (next == m_nodes[node])
            return;
        m_nodes[node] = next;
    }
}

int WorkerIndex::findFirst(std::size_t from, std::size_t to, const Resources &need) const
{
    return m_nodes.empty() ? -1 : find(1, 0, m_leaves, from, to, need);
}

int WorkerIndex::find(std::size_t node, std::size_t low, std::size_t high, std::size_t from,
                      std::size_t to, const Resources &need) const
{
    if (high <= from || low >= to || !m_nodes[node].covers(need))
        return -1;
    if (high - low == 1)
        return static_cast<int>(low);
    const std::size_t middle = (low + high) / 2;
    const int left = find(2 * node, low, middle, from, to, need);
    return left >= 0 ? left : find(2 * node + 1, middle, high, from, to, need);
}

} // namespace dragonflysill
