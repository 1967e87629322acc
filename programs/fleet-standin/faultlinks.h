#pragma once

#include "dragonflysill/faults/faultproxy.h"
#include "dragonflysill/net/eventloop.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflysill {

/** Proxies on the links between nodes, callers, workers and the platform. */
class FaultLinks
{
public:
    /** @param firstPort port of the first proxy on @p host; the next proxies follow */
    FaultLinks(EventLoop &loop, std::string host, int firstPort);

    /**
     * Returns the address of the proxy between a client and a server, which is started on the first
     * use; returns the server's address if that fails.
     */
    std::string reach(const std::string &client, const std::string &server);

    /** Returns the proxy between a client and a server, or nullptr. */
    [[nodiscard]] FaultProxy *find(const std::string &client, const std::string &server) const;

    /** Returns all proxies with the name of their link. */
    [[nodiscard]] std::vector<std::pair<std::string, FaultProxy *>> links() const;

private:
    EventLoop &m_loop;
    std::string m_host;
    int m_nextPort;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<FaultProxy>> m_proxies;
};

} // namespace dragonflysill
