#pragma once

#include "dragonflysill/store/fence.h"
#include "dragonflysill/store/store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflysill {

/** A change of one key from one value to another; no value means that the key is absent. */
struct FencedWrite
{
    std::string key;
    std::optional<std::string> before;
    std::optional<std::string> after;
    LeaseId lease = 0;
    std::vector<Compare> conditions; ///< Further comparisons, for example on the pool's owner.
};

/** What became of a FencedWrite. */
struct WriteOutcome
{
    enum class Kind {
        Written, ///< The key has the new value.
        Refused, ///< A comparison failed; nothing was written.
        LeaseLost, ///< There is no registration to write under.
        Unavailable, ///< The store was not reached; nothing was written.
        Unknown, ///< The answer and the read that followed were lost.
    };
    Kind kind = Kind::Unavailable;
    std::int64_t modRevision = 0; ///< Revision of the key's last change; 0 if absent or not known.
};

/**
 * Changes single keys with a comparison of the process's registration and of the previous value.
 * If the answer of a write is lost, the key is read back before the outcome is decided. Does not
 * own the store and the fence, which must outlive it.
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
