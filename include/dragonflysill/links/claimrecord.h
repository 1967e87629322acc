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

/** The stored value of an at-most-once claim: identifies the request that holds the key. */
struct ClaimRecord
{
    std::string entry; ///< Name of the entry instance.
    std::int64_t incarnation = 0; ///< Identifies the start of the entry process.
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
 * Returns the store key of the claim for an idempotency key of a service. The key contains a
 * 128-bit hash of both; a collision would refuse a request, but is negligibly unlikely.
 */
std::string claimKey(std::string_view service, std::string_view idempotencyKey);

/** The store key and value of a claim. */
struct ClaimEntry
{
    std::string key;
    std::string value;

    bool operator==(const ClaimEntry &) const = default;
};

/** Largest number of claims in one transaction; etcd allows 128 operations. */
inline constexpr std::size_t maxClaimsPerCall = 100;

/**
 * Returns a transaction that creates all claims if none of the keys exists, and otherwise reads the
 * existing ones.
 */
Transaction createClaims(std::span<const ClaimEntry> claims, LeaseId lease);

/** Returns a transaction that reads the claims. */
Transaction readClaims(std::span<const ClaimEntry> claims);

/**
 * Returns a transaction that deletes all claims if each has the given value, and otherwise reads
 * the existing ones.
 */
Transaction deleteClaims(std::span<const ClaimEntry> claims);

/** Returns the values that a transaction read, by key. */
std::map<std::string, std::string> claimValues(const TransactionResult &result);

} // namespace dragonflysill
