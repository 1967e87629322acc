#pragma once

#include "dragonflysill/store/fence.h"
#include "dragonflysill/store/store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflysill {

/**
 * A compare-and-swap of one key. `before` is the expected value and `after` the new one; no value
 * means that the key is absent.
 */
struct FencedWrite
{
    std::string key;
    std::optional<std::string> before;
    std::optional<std::string> after;
    LeaseId lease = 0; ///< Lease that the key is attached to; 0 for none.
    std::vector<Compare> conditions; ///< Further comparisons, for example on the pool's owner.
};

/** The result of a FencedWrite. */
struct WriteOutcome
{
    enum class Kind {
        Written, ///< The key has the new value.
        Refused, ///< A comparison failed; nothing was written.
        LeaseLost, ///< The process has no registration, so its fence cannot be compared.
        Unavailable, ///< The request did not reach the store; nothing was written.
        Unknown, ///< The answer was lost, and reading the key back failed too.
    };
    Kind kind = Kind::Unavailable;
    std::int64_t modRevision = 0; ///< Revision of the key's last change; 0 if absent or not known.
};

/**
 * Writes single keys on condition that the process is still registered and the key still has its
 * previous value. If the answer to a write is lost, the key is read back to determine the outcome.
 * The store and the fence must outlive the object.
 */
class FencedWriter
{
public:
    FencedWriter(Store &store, const Fence &fence);

    /** Executes one write; blocks for at most two store calls. */
    WriteOutcome write(const FencedWrite &write);

    /** Returns the revision of a key's last change, 0 if it is absent, or the store's error. */
    Result<std::int64_t> modRevision(const std::string &key);

private:
    WriteOutcome readBack(const FencedWrite &write);

    Store &m_store;
    const Fence &m_fence;
};

} // namespace dragonflysill
