#pragma once

#include "dragonflysill/net/eventloop.h"
#include "dragonflysill/node/prefixwatcher.h"
#include "dragonflysill/node/statereplica.h"
#include "dragonflysill/store/asyncstore.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** Brings the keys of jobs that a node's part requires from the store into its replica. */
class StateFollower
{
public:
    /** Keys of jobs that a node follows. */
    enum class Keys {
        None,
        All, ///< To take over the schedule.
        NewJobs, ///< Accepted and cancelled jobs; the owner itself writes all other keys.
    };

    /** @param onChange called after each change of the replica */
    StateFollower(EventLoop &loop, AsyncStore &store, StateReplica &replica,
                  std::function<void()> onChange);

    /**
     * Follows other keys, from the revision up to which the replica knows them. Must not be called
     * by @p onChange itself, since it ends the watchers.
     * @param pause pause between two polls
     */
    void follow(Keys keys, Duration pause);

    [[nodiscard]] Keys keys() const { return m_keys; }

    /**
     * Sets the revision up to which this node knows the keys that it does not follow. While it
     * follows new jobs alone, other keys are known only as long as no other node writes them.
     * @param revision 0 to make the next call of follow() list all keys
     */
    void setKnownRevision(std::int64_t revision) { m_otherKeysAsOf = revision; }

    /** Sets the pause between two polls. */
    void setPause(Duration pause);

    /** Returns handlers that apply the keys with a prefix to the replica. */
    PrefixWatcher::Handlers handlers(std::string_view prefix);

private:
    /** Returns the revision up to which all keys are known; 0 if they must be listed. */
    [[nodiscard]] std::int64_t knownRevision() const;
    void watch(std::initializer_list<std::string_view> prefixes, std::int64_t asOf, Duration pause);

    EventLoop &m_loop;
    AsyncStore &m_store;
    StateReplica &m_replica;
    std::function<void()> m_onChange;
    Keys m_keys = Keys::None;
    std::int64_t m_otherKeysAsOf = 0; ///< Of keys that are not followed.
    std::vector<std::unique_ptr<PrefixWatcher>> m_watchers;
};

} // namespace dragonflysill
