#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/store/storetypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** The stored value of an at-most-once claim: who may run the request with the key. */
struct ClaimRecord
{
    std::string entry; ///< Name of the entry instance.
    std::int64_t incarnation = 0; ///< Start of the entry process.
    /** Distinguishes two requests with the same id that reach one entry process. */
    std::uint64_t sequence = 0;
    std::string requestId;

    bool operator==(const ClaimRecord &) const = default;
};

/** Returns the JSON text that the store holds for a claim. */
std::string encodeClaim(const ClaimRecord &claim);

/** Decodes a stored claim; Corrupt if the text is not a claim. */
Result<ClaimRecord> decodeClaim(std::string_view text);

/**
 * Returns the store key of an idempotency key. Keys of different services do not collide. The hash
 * has 128 bits, so that an accidental collision, which refuses a request, is not expected.
 */
std::string claimKey(std::string_view service, std::string_view idempotencyKey);

/** A claim as it is written: store key and value. */
struct ClaimEntry
{
    std::string key;
    std::string value;

    bool operator==(const ClaimEntry &) const = default;
};

/** Most claims in one transaction; etcd allows 128 operations. */
inline constexpr std::size_t maxClaimsPerCall = 100;

/**
 * Returns the transaction that creates all claims if none of the keys exists, and reads the
 * existing ones otherwise.
 */
Transaction createClaims(std::span<const ClaimEntry> claims, LeaseId lease);

/** Returns the transaction that reads the claims. */
Transaction readClaims(std::span<const ClaimEntry> claims);

/**
 * Returns the transaction that deletes all claims if every one has the given value, and reads the
 * existing ones otherwise.
 */
Transaction deleteClaims(std::span<const ClaimEntry> claims);

/** Returns the values by key that a transaction read. */
std::map<std::string, std::string> claimValues(const TransactionResult &result);

} // namespace dragonflysill
