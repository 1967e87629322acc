#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflysill::storekeys {

/**
 * Everything that control processes watch stands below this prefix. Claims and tasks stand outside
 * of it, because they change too often to pass through every watch.
 */
inline constexpr std::string_view root = "/dragonflysill/";
inline constexpr std::string_view latestTicket = "/dragonflysill/head";
inline constexpr std::string_view tickets = "/dragonflysill/tickets/";
inline constexpr std::string_view ticketIds = "/dragonflysill/ticket-ids/";
inline constexpr std::string_view pools = "/dragonflysill/objects/pool/";
inline constexpr std::string_view services = "/dragonflysill/objects/service/";
inline constexpr std::string_view jobs = "/dragonflysill/objects/job/";
inline constexpr std::string_view quotas = "/dragonflysill/objects/quota/";
inline constexpr std::string_view maintenance = "/dragonflysill/objects/maintenance/";
inline constexpr std::string_view instances = "/dragonflysill/instances/";
inline constexpr std::string_view members = "/dragonflysill/members/";
/** Registrations of entry processes; not attached to a lease, see docs/design.md. */
inline constexpr std::string_view entries = "/dragonflysill/entries/";
inline constexpr std::string_view poolOwners = "/dragonflysill/owners/pool/";
inline constexpr std::string_view waves = "/dragonflysill/waves/";
inline constexpr std::string_view tasks = "/dragonflysill-tasks/";
inline constexpr std::string_view claims = "/dragonflysill-claims/";

/** Returns prefix followed by name. */
std::string join(std::string_view prefix, std::string_view name);

/** Returns the key of a ticket; numbers have ten digits so that keys sort by number. */
std::string ticket(std::int64_t number);

/** Returns the end of the key range that covers every key with the prefix. */
std::string rangeEnd(std::string_view prefix);

} // namespace dragonflysill::storekeys
