#include "faultlinks.h"

#include <iostream>

namespace dragonflysill {

FaultLinks::FaultLinks(EventLoop &loop, std::string host, int firstPort)
    : m_loop(loop)
    , m_host(std::move(host))
    , m_nextPort(firstPort)
{
}

std::string FaultLinks::reach(const std::string &client, const std::string &server)
{
    auto &proxy = m_proxies[{client, server}];
    if (!proxy) {
        proxy = std::make_unique<FaultProxy>(m_loop, m_host + ':' + std::to_string(m_nextPort++),
                                             server);
        if (const auto opened = proxy->listen(); !opened) {
            std::cerr << opened.error().text() << '\n';
            return server;
        }
    }
    return proxy->address();
}

FaultProxy *FaultLinks::find(const std::string &client, const std::string &server) const
{
    const auto it = m_proxies.find({client, server});
    return it == m_proxies.end() ? nullptr : it->second.get();
}

std::vector<std::pair<std::string, FaultProxy *>> FaultLinks::links() const
{
    std::vector<std::pair<std::string, FaultProxy *>> result;
    result.reserve(m_proxies.size());
    for (const auto &[ends, proxy] : m_proxies) {
        const auto &[client, server] = ends;
        result.emplace_back((client.empty() ? "nodes" : client) + " to " + server, proxy.get());
    }
    return result;
}

} // namespace dragonflysill
