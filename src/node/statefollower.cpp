#include "dragonflysill/node/statefollower.h"

#include "dragonflysill/node/nodekeys.h"
#include "dragonflysill/telemetry/log.h"

#include <algorithm>
#include <string>
#include <utility>

namespace dragonflysill {

namespace internal {

/** Returns the name of the followed keys in the log. */
std::string keysName(StateFollower::Keys keys)
{
    switch (keys) {
    case StateFollower::Keys::None:
        return "none";
    case StateFollower::Keys::All:
        return "all";
    case StateFollower::Keys::NewJobs:
        break;
    }
    return "new";
}

} // namespace internal

StateFollower::StateFollower(EventLoop &loop, AsyncStore &store, StateReplica &replica,
                             std::function<void()> onChange)
    : m_loop(loop)
    , m_store(store)
    , m_replica(replica)
    , m_onChange(std::move(onChange))
{
}

PrefixWatcher::Handlers StateFollower::handlers(std::string_view prefix)
{
    return {[this, prefix](std::span<const KeyValue> items, std::int64_t asOf) {
                m_replica.reset(prefix, items, asOf);
                m_onChange();
            },
            [this, prefix](std::span<const KeyUpdate> updates, std::int64_t asOf) {
                m_replica.apply(prefix, updates, asOf);
                m_onChange();
            }};
}

void StateFollower::follow(Keys keys, Duration pause)
{
    if (keys == m_keys)
        return;
    const auto asOf = knownRevision();
    m_keys = keys;
    m_otherKeysAsOf = 0;
    logInfo("jobs-followed", {{"keys", internal::keysName(keys)}});
    m_watchers.clear();
    m_replica.followJobs(keys != Keys::None);
    if (keys == Keys::All)
        watch({nodekeys::root}, asOf, pause);
    else if (keys == Keys::NewJobs)
        watch({nodekeys::jobs, nodekeys::cancelled}, asOf, pause);
}

std::int64_t StateFollower::knownRevision() const
{
    if (m_keys == Keys::None)
        return 0;
    if (m_keys == Keys::All)
        return m_replica.asOf();
    auto asOf = m_otherKeysAsOf;
    for (const auto &it : m_watchers)
        asOf = std::min(asOf, it->asOf());
    return asOf;
}

void StateFollower::watch(std::initializer_list<std::string_view> prefixes, std::int64_t asOf,
                          Duration pause)
{
    for (const auto prefix : prefixes) {
        m_watchers.push_back(std::make_unique<PrefixWatcher>(m_loop, m_store, std::string(prefix),
                                                             PrefixWatcher::Timing{pause},
                                                             handlers(prefix)));
        if (asOf == 0)
            m_watchers.back()->start();
        else
            m_watchers.back()->startFrom(asOf);
    }
}

void StateFollower::setPause(Duration pause)
{
    for (const auto &it : m_watchers)
        it->setPause(pause);
}

} // namespace dragonflysill
