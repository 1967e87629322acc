#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace dragonflysill {

/**
 * The addresses that take requests. With admin addresses it does what the platform's load balancer
 * does: it polls /readyz and leaves out targets that are not ready. Owns its polling thread.
 */
class Targets
{
public:
    /**
     * @param addresses where requests go
     * @param adminAddresses the admin address of each target in the same order, or empty
     */
    Targets(std::vector<std::string> addresses, std::vector<std::string> adminAddresses);
    ~Targets();

    /** Starts polling, if there are admin addresses, after one poll of each target. */
    void start();

    /** Returns the index of the next target in turn that is ready and not @p avoid. */
    std::size_t pick(std::size_t avoid);

    /** Marks a target that refused a connection; the next poll may restore it. */
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
