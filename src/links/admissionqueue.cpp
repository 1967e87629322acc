#include "dragonflysill/links/admissionqueue.h"

#include <iterator>

namespace dragonflysill {

AdmissionQueue::AdmissionQueue(QueueOrder order, std::size_t capacity)
    : m_order(order)
    , m_capacity(capacity)
{
}

std::int64_t AdmissionQueue::orderOf(const PendingRequest &request) const
{
    // Keys grow with each request, so equal orders are served by arrival.
    return m_order == QueueOrder::Deadline ? request.deadline.time_since_epoch().count() : 0;
}

bool AdmissionQueue::push(const PendingRequest &request)
{
    if (m_requests.size() >= m_capacity)
        return false;
    m_requests.insert({orderOf(request), request});
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
    return m_requests.erase({orderOf(request), request}) > 0;
}

std::size_t AdmissionQueue::ahead(TimePoint deadline) const
{
    if (m_order == QueueOrder::Arrival)
        return m_requests.size();
    Item item;
    item.order = deadline.time_since_epoch().count() + 1;
    const auto end = m_requests.lower_bound(item);
    return static_cast<std::size_t>(std::distance(m_requests.begin(), end));
}

} // namespace dragonflysill
