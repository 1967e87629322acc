#include "deadlineguard.h"

namespace dragonflysill {

namespace internal {

// Precision of the closing; the library's own timeouts handle a peer that sends nothing.
constexpr std::chrono::milliseconds scanInterval{10};

} // namespace internal

DeadlineGuard::Watch::Watch(std::shared_ptr<Slot> slot)
    : m_slot(std::move(slot))
{
}

DeadlineGuard::Watch::~Watch()
{
    const std::lock_guard lock(m_slot->mutex);
    m_slot->client = nullptr;
}

DeadlineGuard::DeadlineGuard()
    : m_thread([this] { run(); })
{
}

DeadlineGuard::~DeadlineGuard()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

DeadlineGuard::Watch DeadlineGuard::watch(httplib::Client &client, TimePoint until)
{
    auto slot = slotOfThread();
    {
        const std::lock_guard lock(slot->mutex);
        slot->client = &client;
        slot->until = until;
    }
    return Watch(std::move(slot));
}

std::shared_ptr<DeadlineGuard::Slot> DeadlineGuard::slotOfThread()
{
    thread_local std::shared_ptr<Slot> slot;
    if (!slot) {
        slot = std::make_shared<Slot>();
        const std::lock_guard lock(m_mutex);
        m_slots.push_back(slot);
    }
    return slot;
}

void DeadlineGuard::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_wake.wait_for(lock, internal::scanInterval);
        closeExpired();
    }
}

void DeadlineGuard::closeExpired()
{
    const TimePoint now = steadyNow();
    for (const auto &it : m_slots) {
        const std::lock_guard lock(it->mutex);
        if (it->client == nullptr || now < it->until)
            continue;
        it->client->stop();
        it->client = nullptr;
    }
}

} // namespace dragonflysill
