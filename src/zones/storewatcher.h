#pragma once

#include "storebackoff.h"

#include "dragonflysill/base/keyupdate.h"
#include "dragonflysill/base/time.h"
#include "dragonflysill/store/store.h"
#include "dragonflysill/zones/sharedview.h"

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace dragonflysill::internal {

/** The functions that a StoreWatcher calls, in its thread. */
struct WatcherHandlers
{
    std::function<void(std::vector<KeyUpdate> updates, std::int64_t revision, bool full)> state;
    std::function<void(bool established)> watching;
    std::function<void(bool ok)> storeAnswered;
    std::function<void(std::string detail)> regressed;
};

/**
 * Watches the store while it is wanted: resumes from the revision that this process has, reads the
 * full state after compaction, and refuses a store that went back. Owns its thread.
 */
class StoreWatcher
{
public:
    StoreWatcher(Store &store, const SharedView &view, std::uint64_t seed,
                 WatcherHandlers handlers);
    ~StoreWatcher();

    void start();
    void stop();

    /** Starts or ends the watch. */
    void setWanted(bool wanted);

    /** Reads the full state once. */
    void readOnce();

private:
    void run();
    bool session();
    bool readFull();
    bool storeIsCurrent();
    bool onBatch(std::span<const KeyUpdate> updates, std::int64_t revision);
    bool watchIsComplete();
    [[nodiscard]] std::int64_t knownRevision() const;
    bool failed(const Error &error);
    bool regressed(const std::string &detail);

    Store &m_store;
    const SharedView &m_view;
    WatcherHandlers m_handlers;
    StoreBackoff m_backoff;
    Wakeup m_wakeup;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_wanted = false;
    std::atomic<bool> m_readOnce = false;
    bool m_needFull = true;
    std::int64_t m_completeTo = 0;
    std::int64_t m_expectedRevision = 0;
    TimePoint m_nextProbe;
    std::thread m_thread;
};

} // namespace dragonflysill::internal
