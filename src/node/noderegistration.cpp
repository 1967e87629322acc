#include "dragonflysill/node/noderegistration.h"

#include "dragonflysill/node/nodekeys.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Time after which the registration of a node that has ended is removed. */
constexpr Milliseconds registrationLease = 4000ms;
/** Interval between two renewals, and before a failed call is repeated. */
constexpr Duration registrationInterval = 1300ms;

} // namespace internal

NodeRegistration::NodeRegistration(EventLoop &loop, AsyncStore &store, std::string node,
                                   int milliCores)
    : m_loop(loop)
    , m_store(store)
    , m_node(std::move(node))
    , m_milliCores(milliCores)
{
}

void NodeRegistration::start()
{
    registerNode();
}

void NodeRegistration::stop()
{
    m_stopped = true;
    if (m_lease != 0)
        m_store.endLease(m_lease, [](const Result<Done> &) {});
}

void NodeRegistration::again(void (NodeRegistration::*step)())
{
    m_loop.after(internal::registrationInterval, [this, step, alive = m_alive] {
        if (*alive && !m_stopped)
            (this->*step)();
    });
}

void NodeRegistration::registerNode()
{
    m_store.grantLease(internal::registrationLease, [this, alive = m_alive](
                                                            const Result<GrantedLease> &lease) {
        if (!*alive || m_stopped)
            return;
        if (!lease) {
            again(&NodeRegistration::registerNode);
            return;
        }
        m_lease = lease->id;
        ConditionalWrite write;
        write.writes
                = {{nodekeys::key(nodekeys::nodes, m_node), std::to_string(m_milliCores), m_lease}};
        m_store.write(write, [this, alive](const Result<WriteOutcome> &outcome) {
            if (*alive)
                again(outcome && outcome->applied ? &NodeRegistration::keepAlive
                                                  : &NodeRegistration::registerNode);
        });
    });
}

void NodeRegistration::keepAlive()
{
    m_store.renewLease(m_lease, [this, alive = m_alive](const Result<Done> &renewed) {
        if (!*alive)
            return;
        const bool ended = !renewed && renewed.error().is(ErrorKind::LeaseLost);
        again(ended ? &NodeRegistration::registerNode : &NodeRegistration::keepAlive);
    });
}

bool moreCapableNodeRegistered(const StateReplica &replica, int milliCores)
{
    return std::ranges::any_of(replica.otherItems(nodekeys::nodes), [milliCores](const auto &it) {
        int other = 0;
        std::from_chars(it.value.data(), it.value.data() + it.value.size(), other);
        return other > milliCores;
    });
}

} // namespace dragonflysill
