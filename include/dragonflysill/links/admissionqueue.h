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
    Duration required{0}; ///< Time to keep for the attempt; set by the PoolDispatcher.
    int exclude = -1; ///< A backend server that already failed this request, or -1.
};

/** The order in which waiting requests are served. */
enum class QueueOrder {
    Deadline, ///< Earliest deadline first.
    Arrival, ///< First in, first out; the baseline.
};

/** A bounded queue of requests of one service. */
class AdmissionQueue
{
public:
    AdmissionQueue(QueueOrder order, std::size_t capacity);

    /** Adds a request; returns false if the queue is full. */
    bool push(const PendingRequest &request);

    /** Returns the next request without removing it, or nothing if the queue is empty. */
    [[nodiscard]] const PendingRequest *front() const;

    /** Removes the next request; the queue must not be empty. */
    void popFront() { m_requests.erase(m_requests.begin()); }

    /** Removes a request; returns false if it is not in the queue. */
    bool remove(RequestKey key, TimePoint deadline);

    /** Returns the number of requests that are served before one with this deadline. */
    [[nodiscard]] std::size_t ahead(TimePoint deadline) const;

    [[nodiscard]] std::size_t size() const { return m_requests.size(); }

private:
    struct Item
    {
        std::int64_t order = 0; ///< Deadline, or a sequence number for arrival order.
        PendingRequest request;

        bool operator<(const Item &other) const
        {
            return std::pair(order, request.key) < std::pair(other.order, other.request.key);
        }
    };

    [[nodiscard]] std::int64_t orderOf(const PendingRequest &request) const;

    QueueOrder m_order;
    std::size_t m_capacity;
    std::set<Item> m_requests;
};

} // namespace dragonflysill
