#pragma once

#include "dragonflysill/base/time.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>

namespace dragonflysill {

/** Identifies a request within its entry process. */
using RequestKey = std::uint64_t;

/** A request that waits for a backend server. */
struct PendingRequest
{
    RequestKey key = 0;
    TimePoint deadline;
    bool repeatable = true;
    Duration minAttemptTime{0}; ///< Shed if less time is left; set by the PoolDispatcher.
    int excludedBackend = -1; ///< Backend server of the failed last attempt, or -1.
};

/** The order in which waiting requests are served. */
enum class QueueOrder {
    Deadline, ///< Earliest deadline first.
    Arrival, ///< First in, first out; the baseline for comparisons.
};

/** A bounded queue of the waiting requests of one service. */
class AdmissionQueue
{
public:
    /** @param capacity the largest number of waiting requests */
    AdmissionQueue(QueueOrder order, std::size_t capacity);

    /** Adds a request; returns false if the queue is full. */
    bool push(const PendingRequest &request);

    /** Returns the next request without removing it, or null if the queue is empty. */
    [[nodiscard]] const PendingRequest *front() const;

    /** Removes the next request; the queue must not be empty. */
    void popFront() { m_requests.erase(m_requests.begin()); }

    /** Removes a request; returns false if it is not in the queue. */
    bool remove(RequestKey key, TimePoint deadline);

    /** Returns the number of requests that would be served before a new one with this deadline. */
    [[nodiscard]] std::size_t countAhead(TimePoint deadline) const;

    [[nodiscard]] std::size_t size() const { return m_requests.size(); }

private:
    struct Item
    {
        std::int64_t sortKey = 0; ///< The deadline, or 0 for arrival order.
        PendingRequest request;

        bool operator<(const Item &other) const
        {
            return std::pair(sortKey, request.key) < std::pair(other.sortKey, other.request.key);
        }
    };

    [[nodiscard]] std::int64_t sortKeyOf(const PendingRequest &request) const;

    QueueOrder m_order;
    std::size_t m_capacity;
    std::set<Item> m_requests;
};

} // namespace dragonflysill
