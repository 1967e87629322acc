#include "dragonflysill/machines/workertable.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace dragonflysill {

namespace internal {

constexpr Resources noResources{-1, -1, -1};

auto sortKey(const Worker &worker)
{
    return std::make_tuple(worker.capacity.accelerators > 0, std::string_view(worker.pool),
                           std::string_view(worker.zone), std::string_view(worker.rack),
                           std::string_view(worker.name));
}

bool sameRack(const Worker &a, const Worker &b)
{
    return a.zone == b.zone && a.rack == b.rack && a.pool == b.pool
           && (a.capacity.accelerators > 0) == (b.capacity.accelerators > 0);
}

} // namespace internal

void WorkerTable::set(const Worker &worker)
{
    const auto it = m_positions.find(worker.name);
    if (it == m_positions.end()) {
        m_positions.emplace(worker.name, m_entries.size());
        m_entries.emplace_back().worker = worker;
        m_needsRebuild = true;
        return;
    }
    Entry &entry = m_entries[it->second];
    if (internal::sortKey(entry.worker) != internal::sortKey(worker))
        m_needsRebuild = true;
    entry.worker = worker;
    entry.removed = false;
    if (!m_needsRebuild)
        refresh(it->second);
}

std::vector<std::size_t> WorkerTable::rebuild()
{
    std::vector<std::size_t> order(m_entries.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) {
        return internal::sortKey(m_entries[a].worker) < internal::sortKey(m_entries[b].worker);
    });
    std::vector<std::size_t> newPositions(m_entries.size());
    std::vector<Entry> entries;
    entries.reserve(m_entries.size());
    for (const auto it : order) {
        newPositions[it] = entries.size();
        entries.push_back(std::move(m_entries[it]));
    }
    m_entries = std::move(entries);
    m_ranges.clear();
    m_free.reset(m_entries.size());
    m_reclaimable.reset(m_entries.size());
    m_capacity.reset(m_entries.size());
    for (std::size_t n = m_entries.size(); n-- > 0;) {
        const bool last = n + 1 == m_entries.size()
                          || !internal::sameRack(m_entries[n].worker, m_entries[n + 1].worker);
        m_entries[n].rackEnd = last ? n + 1 : m_entries[n + 1].rackEnd;
    }
    for (std::size_t n = 0; n < m_entries.size(); ++n) {
        m_positions[m_entries[n].worker.name] = n;
        auto &ranges = m_ranges[m_entries[n].worker.pool];
        if (ranges.empty() || ranges.back().second != n)
            ranges.emplace_back(n, n);
        ++ranges.back().second;
        refresh(n);
    }
    m_needsRebuild = false;
    return newPositions;
}

std::optional<std::size_t> WorkerTable::find(std::string_view name) const
{
    const auto it = m_positions.find(name);
    if (it == m_positions.end() || m_entries[it->second].removed)
        return std::nullopt;
    return it->second;
}

std::vector<WorkerTable::Range> WorkerTable::ranges(std::string_view pool) const
{
    if (pool.empty())
        return {{0, m_entries.size()}};
    const auto it = m_ranges.find(pool);
    return it == m_ranges.end() ? std::vector<Range>() : it->second;
}

void WorkerTable::refresh(std::size_t position)
{
    const Entry &entry = m_entries[position];
    m_capacity.set(position, entry.removed ? internal::noResources : entry.worker.capacity);
    const bool unavailable = entry.removed || entry.quarantinedUntilMs > 0
                             || (entry.onProbation && !entry.tasks.empty());
    const auto free = entry.worker.capacity - entry.used;
    m_free.set(position, unavailable ? internal::noResources : free);
    m_reclaimable.set(position, unavailable ? internal::noResources : free + entry.preemptible);
}

} // namespace dragonflysill
