#include "dragonflysill/links/admissionqueue.h"

#include <iterator>

namespace dragonflysill {

AdmissionQueue::AdmissionQueue(QueueOrder order, std::size_t capacity)
    : m_order(order)
    , m_capacity(capacity)
{
}

std::int64_t AdmissionQueue::sortKeyOf(const PendingRequest &request) const
{
    // Request keys increase, so requests with equal sort keys are served in order of arrival.
    return m_order == QueueOrder::Deadline ? request.deadline.time_since_epoch().count() : 0;
}

bool AdmissionQueue::push(const PendingRequest &request)
{
    if (m_requests.size() >= m_capacity)
        return false;
    m_requests.insert({sortKeyOf(request), request});
    return true;
}

const PendingRequest *AdmissionQueue::front() const
{
    return m_requests.empty() ? nullptr : &m_requests.begin()->request;
}

bool AdmissionQueue::remove(RequestKey key, TimePoint deadline)
{
    PendingRequest request;
    request.key = key;
    request.deadline = deadline;
    return m_requests.erase({sortKeyOf(request), request}) > 0;
}

std::size_t AdmissionQueue::countAhead(TimePoint deadline) const
{
    if (m_order == QueueOrder::Arrival)
        return m_requests.size();
    Item item;
    item.sortKey = deadline.time_since_epoch().count() + 1;
    const auto end = m_requests.lower_bound(item);
    return static_cast<std::size_t>(std::distance(m_requests.begin(), end));
}

} // namespace dragonflysill
