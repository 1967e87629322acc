#include "targets.h"

#include <httplib.h>

#include <chrono>
#include <utility>

namespace dragonflysill {

namespace internal {

constexpr std::chrono::milliseconds pollInterval{100};
constexpr std::chrono::milliseconds pollTimeout{500};

bool isReady(const std::string &adminAddress)
{
    httplib::Client client("http://" + adminAddress);
    client.set_connection_timeout(pollTimeout);
    client.set_read_timeout(pollTimeout);
    const auto result = client.Get("/readyz");
    return result && result->status == 200;
}

} // namespace internal

Targets::Targets(std::vector<std::string> addresses, std::vector<std::string> adminAddresses)
    : m_addresses(std::move(addresses))
    , m_adminAddresses(std::move(adminAddresses))
    , m_ready(std::make_unique<std::atomic<bool>[]>(m_addresses.size()))
{
    for (std::size_t i = 0; i < m_addresses.size(); ++i)
        m_ready[i] = true;
}

Targets::~Targets()
{
    m_stopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

void Targets::start()
{
    if (m_adminAddresses.empty())
        return;
    poll();
    m_thread = std::thread([this] {
        while (!m_stopping) {
            std::this_thread::sleep_for(internal::pollInterval);
            poll();
        }
    });
}

std::size_t Targets::pick(std::size_t avoid)
{
    for (std::size_t tries = 0; tries < m_addresses.size(); ++tries) {
        const std::size_t index = m_next++ % m_addresses.size();
        if (m_ready[index] && index != avoid)
            return index;
    }
    return m_next++ % m_addresses.size();
}

void Targets::markDown(std::size_t index)
{
    if (!m_adminAddresses.empty())
        m_ready[index] = false;
}

void Targets::poll()
{
    for (std::size_t i = 0; i < m_adminAddresses.size(); ++i)
        m_ready[i] = internal::isReady(m_adminAddresses[i]);
}

} // namespace dragonflysill
