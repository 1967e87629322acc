#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace dragonflysill {

/**
 * Chooses the target of each request. With admin addresses it acts like the platform's load
 * balancer: it polls /readyz and skips targets that are not ready. Owns its polling thread.
 */
class Targets
{
public:
    /**
     * @param addresses the addresses to which requests are sent
     * @param adminAddresses the admin address of each target in the same order, or empty
     */
    Targets(std::vector<std::string> addresses, std::vector<std::string> adminAddresses);
    ~Targets();

    /** Polls each target once and starts the polling thread, if there are admin addresses. */
    void start();

    /**
     * Returns the index of the next ready target other than @p avoid, round-robin. Without such a
     * target it returns the next one.
     */
    std::size_t pick(std::size_t avoid);

    /** Marks a target that refused a connection as not ready until a poll finds it ready again. */
    void markDown(std::size_t index);

    [[nodiscard]] const std::string &address(std::size_t index) const { return m_addresses[index]; }
    [[nodiscard]] std::size_t size() const { return m_addresses.size(); }

private:
    void poll();

    std::vector<std::string> m_addresses;
    std::vector<std::string> m_adminAddresses;
    std::unique_ptr<std::atomic<bool>[]> m_ready;
    std::atomic<std::size_t> m_next = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace dragonflysill
