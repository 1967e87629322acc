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

/** Callbacks of a StoreWatcher, called in its thread. */
struct WatcherHandlers
{
    std::function<void(std::vector<KeyUpdate> updates, std::int64_t revision, bool full)> state;
    std::function<void(bool established)> watching;
    std::function<void(bool ok)> storeCallEnded;
    std::function<void(std::string detail)> regressed;
};

/**
 * Watches the store while a watch is wanted. Resumes after the last known revision, reads the full
 * state after a compaction, and reports a store with a lower revision or ticket number than already
 * seen instead of using its state. Owns its thread.
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

    /** Reads the full state once, even if no watch is wanted. */
    void readOnce();

private:
    void run();
    /** Watches the store until the watch ends; returns false if the store failed or regressed. */
    bool runWatch();
    bool readFull();
    /** Returns false if the store failed or has a lower revision or ticket than already seen. */
    bool isStoreCurrent();
    bool onBatch(std::span<const KeyUpdate> updates, std::int64_t revision);
    /** Returns false if the watch missed the change of the last probe, or the store failed. */
    bool isWatchComplete();
    [[nodiscard]] std::int64_t knownRevision() const;
    /** Reports a failed call to the store and returns false. */
    bool reportError(const Error &error);
    /** Reports a store that regressed and returns false. */
    bool reportRegression(const std::string &detail);

    Store &m_store;
    const SharedView &m_view;
    WatcherHandlers m_handlers;
    StoreBackoff m_backoff;
    Wakeup m_wakeup;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_wanted = false;
    std::atomic<bool> m_readOnce = false;
    bool m_needsFullRead = true;
    std::int64_t m_completeRevision = 0; ///< All changes up to this revision were received.
    std::int64_t m_expectedRevision = 0; ///< The next probe requires changes up to it.
    TimePoint m_nextProbe;
    std::thread m_thread;
};

} // namespace dragonflysill::internal
