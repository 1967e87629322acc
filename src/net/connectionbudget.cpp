#include "dragonflysill/net/connectionbudget.h"

#include <algorithm>

namespace dragonflysill {

namespace internal {

/** Descriptors of the machine that are for files. */
constexpr std::size_t fileDescriptors = 200;
/** A share holds the memory of a few responses that are not read, also on the smallest machine. */
constexpr std::size_t minShareBytes = std::size_t{1} << 20U;
/**
 * Memory for each connection of a caller on average. The kernel takes 27 KB for what a connection
 * sends while the process stands still, and more only for connections that are charged for it.
 */
constexpr std::size_t bytesPerCaller = 32768;
constexpr std::size_t bytesPerPeer = 20480;
/** A node has about ten calls to the store in flight, most of them watches. */
constexpr std::size_t minStoreConnections = 32;
/** The load balancer and operators open a few connections. */
constexpr std::size_t maxOperatorConnections = 64;

/** Returns a part of a whole, in thousandths. */
constexpr std::size_t part(std::size_t whole, std::size_t thousandths)
{
    return whole / 1000 * thousandths;
}

std::shared_ptr<ConnectionShare> share(std::size_t bytes, std::size_t connections)
{
    return std::make_shared<ConnectionShare>(
            ShareLimits{std::max(bytes, minShareBytes), std::max<std::size_t>(connections, 1)});
}

} // namespace internal

// Memory: at most 0.62 for the connections, of which callers have 0.25. The rest is for the node
// and for the kernel, docs/design/untrusted-clients.md has the figures. Descriptors: half of those
// that are not for files are for clients, 5/16 for workers, an eighth for orders to instances; an
// owner of 350 workers has used 500 connections to workers and 170 to instances at once.
ConnectionBudget::ConnectionBudget(const ProcessLimits &limits)
{
    using internal::part;
    using internal::share;
    const auto memory = limits.memoryBytes;
    const auto sockets
            = limits.descriptors - std::min(internal::fileDescriptors, limits.descriptors / 2);
    const auto clients = sockets / 2;
    const auto operators = std::min(internal::maxOperatorConnections, clients / 16);
    const auto peers = std::min(clients / 4, part(memory, 50) / internal::bytesPerPeer);
    const auto callers = std::min(clients - 2 * operators - clients / 4,
                                  part(memory, 250) / internal::bytesPerCaller);
    m_callers = share(part(memory, 250), callers);
    m_readiness = share(part(memory, 5), operators);
    m_operators = share(part(memory, 15), operators);
    m_peers = share(part(memory, 50), peers);
    m_store = share(part(memory, 150), std::max(internal::minStoreConnections, sockets / 32));
    m_workers = share(part(memory, 75), sockets * 5 / 16);
    m_services = share(part(memory, 75), sockets / 8);
}

std::vector<ConnectionBudget::NamedShare> ConnectionBudget::shares() const
{
    return {{"callers", m_callers},  {"readiness", m_readiness}, {"operators", m_operators},
            {"peers", m_peers},      {"store", m_store},         {"workers", m_workers},
            {"services", m_services}};
}

std::size_t ConnectionBudget::heldBytes() const
{
    std::size_t bytes = 0;
    for (const auto &it : shares())
        bytes += it.share->heldBytes();
    return bytes;
}

std::size_t ConnectionBudget::takeReleasedBytes()
{
    std::size_t bytes = 0;
    for (const auto &it : shares())
        bytes += it.share->takePeakBytes() - it.share->heldBytes();
    return bytes;
}

} // namespace dragonflysill
