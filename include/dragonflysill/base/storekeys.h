#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflysill::storekeys {

/**
 * Prefix of all keys that control processes watch. Claims and tasks have other prefixes, because
 * they change too often to be sent to every watcher.
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

/** Returns the key of a named object: the prefix followed by the name. */
std::string join(std::string_view prefix, std::string_view name);

/** Returns the key of a ticket; its number is padded to ten digits so that keys sort by number. */
std::string ticket(std::int64_t number);

/** Returns the exclusive end of the range of all keys with the prefix. */
std::string rangeEnd(std::string_view prefix);

} // namespace dragonflysill::storekeys
