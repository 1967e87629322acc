#pragma once

#include "dragonflysill/base/keyupdate.h"
#include "dragonflysill/base/result.h"
#include "dragonflysill/contracts/configuration.h"
#include "dragonflysill/machines/instancerecord.h"
#include "dragonflysill/zones/member.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** An immutable snapshot of the configuration, the instance records and the members. */
struct View
{
    std::int64_t revision = 0; ///< The store's revision that the view reflects.
    Configuration configuration;
    ByName<InstanceRecord> instances;
    ByName<Member> members; ///< Control processes whose lease is alive.
    ByName<Member> entries; ///< Entry processes; kept when the member's lease expires.
};

using ViewPointer = std::shared_ptr<const View>;

/** Returns true if a key of the store is part of the view. */
bool isViewKey(std::string_view key);

/**
 * Builds views from updates of the store and keeps the raw key values, from which a full state for
 * another process is made. Updates that end at a lower revision or would lower the ticket
 * number are refused. Not thread-safe.
 */
class ViewBuilder
{
public:
    ViewBuilder();

    /**
     * Applies changed keys. A key outside the view's prefixes is ignored. A value that cannot be
     * decoded is counted and skipped, and the key keeps its last good value.
     * @param updates the changes, in any order; for each key, the highest revision counts
     * @param revision the revision up to which the updates are complete
     * @return the new view, or StoreRegressed, which leaves the view as it was
     */
    Result<ViewPointer> apply(std::span<const KeyUpdate> updates, std::int64_t revision);

    /**
     * Replaces the whole state; keys that are missing from the new state are removed.
     * @return the new view, or StoreRegressed, which leaves the view as it was
     */
    Result<ViewPointer> replace(std::span<const KeyUpdate> updates, std::int64_t revision);

    /** Returns the current view; never null. */
    [[nodiscard]] ViewPointer view() const { return m_view; }

    /**
     * Returns the keys that the last successful apply() or replace() changed; a key that a full
     * state no longer holds is reported as deleted at the state's revision.
     */
    [[nodiscard]] const std::vector<KeyUpdate> &lastChanges() const { return m_lastChanges; }

    /** Returns the raw values of all keys, for a full-state message. */
    [[nodiscard]] std::vector<KeyUpdate> fullState() const;

    /** Returns the number of values that could not be decoded. */
    [[nodiscard]] std::int64_t corruptValues() const { return m_corruptValues; }

private:
    Result<ViewPointer> install(std::vector<KeyUpdate> changes, std::int64_t revision);
    std::shared_ptr<View> takeEditableView();

    ByName<KeyUpdate> m_keys;
    std::shared_ptr<View> m_view;
    /**
     * The view before m_view; it differs from m_view only by m_lastChanges. It is updated and
     * reused for the next view once no reader holds it, because copying 21,000 records for each
     * change would take milliseconds.
     */
    std::shared_ptr<View> m_previousView;
    std::vector<KeyUpdate> m_lastChanges;
    std::int64_t m_corruptValues = 0;
};

} // namespace dragonflysill
