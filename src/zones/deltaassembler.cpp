#include "dragonflysill/zones/deltaassembler.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonflysill {

DeltaOutcome DeltaAssembler::add(const ViewDelta &delta, std::int64_t mine)
{
    m_updates.clear();
    if (delta.full) {
        // Parts of two full states must not mix, so a new revision starts over.
        if (delta.toRevision != m_partsRevision)
            m_parts.clear();
        m_partsRevision = delta.toRevision;
        m_parts.insert(m_parts.end(), delta.updates.begin(), delta.updates.end());
        if (delta.more)
            return DeltaOutcome::Ignore;
        m_updates = std::exchange(m_parts, {});
        m_partsRevision = 0;
        return delta.toRevision > mine ? DeltaOutcome::Replace : DeltaOutcome::Ignore;
    }
    if (delta.toRevision <= mine)
        return DeltaOutcome::Ignore;
    if (delta.fromRevision > mine)
        return DeltaOutcome::Request;
    // An older update would bring back a key that was deleted since.
    std::copy_if(delta.updates.begin(), delta.updates.end(), std::back_inserter(m_updates),
                 [mine](const KeyUpdate &it) { return it.revision > mine; });
    return DeltaOutcome::Apply;
}

} // namespace dragonflysill
