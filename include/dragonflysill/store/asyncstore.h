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

/** A change that applies as a whole if every expected key has the stated revision. */
struct ConditionalWrite
{
    struct Expectation
    {
        std::string key;
        std::int64_t revision = 0; ///< Of its last change; 0 means that it must not exist.
    };

    std::vector<Expectation> expected;
    std::vector<PutOperation> writes;
    std::vector<std::string> removals;
};

/** The outcome of a ConditionalWrite. */
struct WriteOutcome
{
    bool applied = false;
    std::int64_t revision = 0; ///< Of the change, if it applied.
    std::vector<KeyValue> current; ///< The expected keys that exist, if it did not.
};

/** Items in the order of their keys. */
struct StorePage
{
    std::vector<KeyValue> items;
    std::int64_t asOf = 0; ///< The store's revision at the read.
    bool more = false; ///< There are items after the last one.
};

/** Changes in the order of their revisions. */
struct StoreChanges
{
    std::vector<KeyUpdate> updates;
    std::int64_t asOf = 0; ///< Complete up to this revision.
};

/** A lease with a length in milliseconds. */
struct GrantedLease
{
    LeaseId id = 0;
    std::chrono::milliseconds length{0};
};

/**
 * The store of a process with an event loop. Calls return at once; the callback runs later on the
 * loop. Errors: StoreUnavailable if nothing was done, OutcomeUnknown if the call may have taken
 * effect or may still do so, Compacted if a watch starts before the store's history, LeaseLost for
 * a lease that has ended, NotFound, and Corrupt for an answer that can't be read.
 */
class AsyncStore
{
public:
    template <typename T>
    using Callback = std::function<void(Result<T>)>;

    virtual ~AsyncStore() = default;

    virtual void get(const std::string &key, Callback<KeyValue> callback) = 0;
    /** Reads the items with a prefix after the key @p after, or from the first. */
    virtual void list(const std::string &prefix, const std::string &after,
                      Callback<StorePage> callback)
            = 0;
    /** Waits up to @p wait for changes after revision @p after; none is no error. */
    virtual void watch(const std::string &prefix, std::int64_t after,
                       std::chrono::milliseconds wait, Callback<StoreChanges> callback)
            = 0;
    virtual void write(const ConditionalWrite &write, Callback<WriteOutcome> callback) = 0;
    virtual void grantLease(std::chrono::milliseconds length, Callback<GrantedLease> callback) = 0;
    virtual void renewLease(LeaseId id, Callback<Done> callback) = 0;
    virtual void endLease(LeaseId id, Callback<Done> callback) = 0;
};

} // namespace dragonflysill
