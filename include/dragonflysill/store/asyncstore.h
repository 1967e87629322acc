#pragma once

#include "dragonflysill/base/keyupdate.h"
#include "dragonflysill/base/result.h"
#include "dragonflysill/base/time.h"
#include "dragonflysill/store/storetypes.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace dragonflysill {

/** An atomic change that is applied only if every expected key has the given revision. */
struct ConditionalWrite
{
    /** The revision that a key must have. */
    struct Expectation
    {
        std::string key;
        std::int64_t revision
                = 0; ///< Revision of its last change; 0 means that the key must not exist.
    };

    std::vector<Expectation> expected;
    std::vector<PutOperation> writes;
    std::vector<std::string> removals; ///< Keys to delete.
};

/** The outcome of a ConditionalWrite. */
struct WriteOutcome
{
    bool applied = false;
    std::int64_t revision = 0; ///< Revision of the change, if it was applied.
    std::vector<KeyValue> current; ///< The expected keys that exist, if it was not applied.
};

/** One page of a list of items, ordered by key. */
struct StorePage
{
    std::vector<KeyValue> items;
    std::int64_t asOf = 0; ///< The store's revision when it was read.
    bool more = false; ///< True if there are further items after the last one.
};

/** Changes that a watch returned, ordered by revision. */
struct StoreChanges
{
    std::vector<KeyUpdate> updates;
    std::int64_t asOf = 0; ///< All changes up to this revision are included.
};

/** A granted lease with its time to live. */
struct GrantedLease
{
    LeaseId id = 0;
    std::chrono::milliseconds length{0};
};

/**
 * Asynchronous interface to the store for processes with an event loop. Calls return at once; the
 * callback runs later on the loop. Errors: StoreUnavailable if the call had no effect,
 * OutcomeUnknown if it may have taken effect or may still do so, Compacted if a watch starts before
 * the oldest revision in the store's history, LeaseLost for a lease that has ended, NotFound, and
 * Corrupt for a malformed response.
 */
class AsyncStore
{
public:
    template <typename T>
    using Callback = std::function<void(Result<T>)>;

    virtual ~AsyncStore() = default;

    virtual void get(const std::string &key, Callback<KeyValue> callback) = 0;
    /** Reads a page of the items with a prefix whose keys follow @p after; empty starts at the
     * first. */
    virtual void list(const std::string &prefix, const std::string &after,
                      Callback<StorePage> callback)
            = 0;
    /**
     * Returns the changes with a prefix after revision @p after. Waits up to @p wait for the first
     * one; a result without changes is no error.
     */
    virtual void watch(const std::string &prefix, std::int64_t after,
                       std::chrono::milliseconds wait, Callback<StoreChanges> callback)
            = 0;
    virtual void write(const ConditionalWrite &write, Callback<WriteOutcome> callback) = 0;
    virtual void grantLease(std::chrono::milliseconds length, Callback<GrantedLease> callback) = 0;
    virtual void renewLease(LeaseId id, Callback<Done> callback) = 0;
    virtual void endLease(LeaseId id, Callback<Done> callback) = 0;
};

} // namespace dragonflysill
