#include "dragonflysill/node/noderegistration.h"

#include "dragonflysill/base/hash.h"
#include "dragonflysill/node/nodekeys.h"
#include "nodesettings.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Time after which the registration of a node that has ended is removed. */
constexpr Milliseconds registrationLease = 4000ms;
/** Interval between two renewals, and before a failed renewal is repeated. */
constexpr Duration registrationInterval = 1300ms;
/**
 * Delays before a failed registration is repeated. The owner is chosen among the registered nodes,
 * so that all must be registered soon after the store is back.
 */
constexpr BackoffLimits registrationBackoff{100ms, 400ms};
/** Number of nodes that follow all keys; more than the platform loses at once on most days. */
constexpr std::ptrdiff_t standbyNodes = 4;

} // namespace internal

std::string peerAddress(const platform::NodeSettings &settings)
{
    return settings.firstPort == 0 ? std::string()
                                   : settings.ip + ':' + std::to_string(settings.firstPort);
}

RegisteredNode registrationOf(const platform::NodeSettings &settings)
{
    return {settings.name, settings.milliCores, peerAddress(settings), settings.zone,
            settings.linkBytesPerSecond};
}

std::string encodeRegistration(const RegisteredNode &node)
{
    return std::to_string(node.milliCores) + ' ' + node.peerAddress + ' ' + node.zone + ' '
           + std::to_string(static_cast<std::int64_t>(node.linkBytesPerSecond));
}

RegisteredNode decodeRegistration(std::string name, std::string_view value)
{
    const auto takeField = [&value] {
        const auto end = std::min(value.find(' '), value.size());
        const auto field = value.substr(0, end);
        value.remove_prefix(std::min(end + 1, value.size()));
        return field;
    };
    const auto toNumber = [](std::string_view text) {
        std::int64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    };
    RegisteredNode node;
    node.name = std::move(name);
    node.milliCores = static_cast<int>(toNumber(takeField()));
    node.peerAddress = takeField();
    node.zone = takeField();
    node.linkBytesPerSecond = static_cast<double>(toNumber(takeField()));
    return node;
}

std::vector<RegisteredNode> registeredNodes(const StateReplica &replica)
{
    std::vector<RegisteredNode> nodes;
    for (const auto &it : replica.otherItems(nodekeys::nodes))
        nodes.push_back(decodeRegistration(std::string(nodekeys::nameIn(nodekeys::nodes, it.key)),
                                           it.value));
    return nodes;
}

std::optional<RegisteredNode> registeredNode(const StateReplica &replica, std::string_view name)
{
    const auto *it = replica.otherItem(nodekeys::key(nodekeys::nodes, name));
    if (it == nullptr)
        return std::nullopt;
    return decodeRegistration(std::string(name), it->value);
}

NodeRegistration::NodeRegistration(EventLoop &loop, AsyncStore &store, RegisteredNode node)
    : m_loop(loop)
    , m_store(store)
    , m_node(std::move(node))
    , m_backoff(stableHash(m_node.name)
                        ^ static_cast<std::uint64_t>(EventLoop::now().time_since_epoch().count()),
                internal::registrationBackoff)
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

void NodeRegistration::again(Duration delay, void (NodeRegistration::*step)())
{
    m_loop.after(delay, [this, step, alive = m_alive] {
        if (*alive && !m_stopped)
            (this->*step)();
    });
}

void NodeRegistration::registerNode()
{
    m_store.grantLease(internal::registrationLease,
                       [this, alive = m_alive](const Result<GrantedLease> &lease) {
                           if (!*alive || m_stopped)
                               return;
                           if (!lease) {
                               again(m_backoff.next(), &NodeRegistration::registerNode);
                               return;
                           }
                           m_lease = lease->id;
                           ConditionalWrite write;
                           write.writes = {{nodekeys::key(nodekeys::nodes, m_node.name),
                                            encodeRegistration(m_node), m_lease}};
                           m_store.write(write, [this, alive](const Result<WriteOutcome> &outcome) {
                               if (!*alive)
                                   return;
                               if (!outcome || !outcome->applied) {
                                   again(m_backoff.next(), &NodeRegistration::registerNode);
                                   return;
                               }
                               m_backoff.reset();
                               again(internal::registrationInterval, &NodeRegistration::keepAlive);
                           });
                       });
}

void NodeRegistration::keepAlive()
{
    m_store.renewLease(m_lease, [this, alive = m_alive](const Result<Done> &renewed) {
        if (!*alive)
            return;
        const bool ended = !renewed && renewed.error().is(ErrorKind::LeaseLost);
        if (ended && !m_stopped)
            registerNode();
        else
            again(internal::registrationInterval, &NodeRegistration::keepAlive);
    });
}

bool isStandby(const StateReplica &replica, std::string_view name)
{
    const auto nodes = registeredNodes(replica);
    const auto self = std::ranges::find(nodes, name, &RegisteredNode::name);
    if (self == nodes.end())
        return false;
    const auto rank = [](const RegisteredNode &it) {
        return std::pair(-it.milliCores, stableHash(it.name));
    };
    return std::ranges::count_if(nodes, [&](const auto &it) { return rank(it) < rank(*self); })
           < internal::standbyNodes;
}

bool moreCapableNodeRegistered(const StateReplica &replica, int milliCores)
{
    return std::ranges::any_of(registeredNodes(replica), [milliCores](const RegisteredNode &it) {
        return it.milliCores > milliCores;
    });
}

} // namespace dragonflysill
