#include "dragonflysill/links/claimrecord.h"

#include "dragonflysill/base/hash.h"
#include "dragonflysill/base/storekeys.h"

#include <nlohmann/json.hpp>

namespace dragonflysill {

namespace internal {

std::string hexadecimal(std::uint64_t number)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (auto it = text.rbegin(); it != text.rend(); ++it) {
        *it = digits[number & 15U];
        number >>= 4U;
    }
    return text;
}

std::vector<Operation> rangesOf(std::span<const ClaimEntry> claims)
{
    std::vector<Operation> ranges;
    ranges.reserve(claims.size());
    for (const ClaimEntry &it : claims)
        ranges.emplace_back(RangeOperation{it.key, {}});
    return ranges;
}

} // namespace internal

std::string encodeClaim(const ClaimRecord &claim)
{
    return nlohmann::json{{"entry", claim.entry},
                          {"incarnation", claim.incarnation},
                          {"sequence", claim.sequence},
                          {"request", claim.requestId}}
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<ClaimRecord> decodeClaim(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return Error(ErrorKind::Corrupt, "stored claim is not a JSON object");
    try {
        return ClaimRecord{
                json.at("entry").get<std::string>(), json.at("incarnation").get<std::int64_t>(),
                json.at("sequence").get<std::uint64_t>(), json.at("request").get<std::string>()};
    } catch (const nlohmann::json::exception &e) {
        return Error(ErrorKind::Corrupt, e.what());
    }
}

std::string claimKey(std::string_view service, std::string_view idempotencyKey)
{
    std::string text(service);
    text += '\0';
    text += idempotencyKey;
    const std::uint64_t first = stableHash(text);
    // The salt is a prefix: as a suffix it would leave collisions of the first FNV-1a hash in
    // place.
    text.insert(0, "claim");
    const std::uint64_t second = stableHash(text);
    return storekeys::join(storekeys::claims,
                           internal::hexadecimal(first) + internal::hexadecimal(second));
}

Transaction createClaims(std::span<const ClaimEntry> claims, LeaseId lease)
{
    Transaction transaction;
    for (const ClaimEntry &it : claims) {
        transaction.compares.push_back(
                {it.key, CompareTarget::CreateRevision, CompareRelation::Equal, 0, {}});
        transaction.success.emplace_back(PutOperation{it.key, it.value, lease});
    }
    transaction.failure = internal::rangesOf(claims);
    return transaction;
}

Transaction readClaims(std::span<const ClaimEntry> claims)
{
    return {{}, internal::rangesOf(claims), {}};
}

Transaction deleteClaims(std::span<const ClaimEntry> claims)
{
    Transaction transaction;
    for (const ClaimEntry &it : claims) {
        transaction.compares.push_back(
                {it.key, CompareTarget::Value, CompareRelation::Equal, 0, it.value});
        transaction.success.emplace_back(DeleteOperation{it.key, {}});
    }
    transaction.failure = internal::rangesOf(claims);
    return transaction;
}

std::map<std::string, std::string> claimValues(const TransactionResult &result)
{
    std::map<std::string, std::string> values;
    for (const RangeResult &range : result.ranges) {
        for (const KeyValue &it : range.keyValues)
            values[it.key] = it.value;
    }
    return values;
}

} // namespace dragonflysill
