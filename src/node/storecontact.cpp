#include "dragonflysill/node/storecontact.h"

namespace dragonflysill {

void StoreContact::sent(TimePoint now)
{
    ++m_outstanding;
    if (!m_unservedSince)
        m_unservedSince = now;
}

void StoreContact::answered(TimePoint now)
{
    --m_outstanding;
    heard(now);
}

void StoreContact::heard(TimePoint now)
{
    // Calls that are still on their way get the full patience from here on.
    if (m_outstanding > 0)
        m_unservedSince = now;
    else
        m_unservedSince.reset();
}

} // namespace dragonflysill
