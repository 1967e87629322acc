#include "dragonflysill/node/storereachability.h"

namespace dragonflysill {

void StoreReachability::callSent(TimePoint now)
{
    ++m_outstanding;
    if (!m_unservedSince)
        m_unservedSince = now;
}

void StoreReachability::callServed(TimePoint now)
{
    --m_outstanding;
    responseReceived(now);
}

void StoreReachability::responseReceived(TimePoint now)
{
    // The timeout of calls still in flight starts again.
    if (m_outstanding > 0)
        m_unservedSince = now;
    else
        m_unservedSince.reset();
}

} // namespace dragonflysill
