#include "dragonflysill/zones/deltaassembler.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonflysill {

DeltaOutcome DeltaAssembler::add(const ViewDelta &delta, std::int64_t ownRevision)
{
    m_updates.clear();
    if (delta.full) {
        // Parts of two full states must not be mixed, so a new revision discards the parts so far.
        if (delta.toRevision != m_partsRevision)
            m_parts.clear();
        m_partsRevision = delta.toRevision;
        m_parts.insert(m_parts.end(), delta.updates.begin(), delta.updates.end());
        if (delta.more)
            return DeltaOutcome::Ignore;
        m_updates = std::exchange(m_parts, {});
        m_partsRevision = 0;
        return delta.toRevision > ownRevision ? DeltaOutcome::Replace : DeltaOutcome::Ignore;
    }
    if (delta.toRevision <= ownRevision)
        return DeltaOutcome::Ignore;
    if (delta.fromRevision > ownRevision)
        return DeltaOutcome::Request;
    // An update up to the own revision could restore a key that has been deleted since.
    std::copy_if(delta.updates.begin(), delta.updates.end(), std::back_inserter(m_updates),
                 [ownRevision](const KeyUpdate &it) { return it.revision > ownRevision; });
    return DeltaOutcome::Apply;
}

} // namespace dragonflysill
