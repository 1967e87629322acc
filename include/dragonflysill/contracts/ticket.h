#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/contracts/configuration.h"
#include "dragonflysill/contracts/problem.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** Maximum number of objects, so that a ticket fits into a store transaction (128 operations). */
inline constexpr std::size_t ticketObjectLimit{100};

/** Maximum size of a ticket; a ticket is stored in one value, whose size the store limits. */
inline constexpr std::size_t ticketSizeLimitBytes{1'000'000};

/** Maximum nesting; valid tickets have five levels. Protects recursive code from hostile input. */
inline constexpr int ticketNestingLimit{16};

/** A change of one object: its complete new state, or its deletion. */
template <typename T>
struct ObjectChange
{
    std::string name;
    std::optional<T> state; ///< Empty if the ticket deletes the object.
    std::string pointer; ///< JSON pointer to the object in the ticket.
    bool malformed = false; ///< True if a field has a problem; then only the name is valid.
};

/** A change of the intended state, as its author submitted it. */
struct Ticket
{
    std::string id;
    std::int64_t base = 0; ///< Number of the newest ticket that the author had read.
    std::string author;
    std::string reason;
    std::vector<ObjectChange<Pool>> pools;
    std::vector<ObjectChange<Service>> services;
    std::vector<ObjectChange<Job>> jobs;
    std::vector<ObjectChange<Quota>> quotas;
    std::vector<ObjectChange<Maintenance>> maintenance;
};

/** The result of parsing: the readable part of a ticket and its problems. */
struct ParsedTicket
{
    Ticket ticket;
    Problems problems;
};

/**
 * Parses a ticket strictly: unknown or repeated fields, wrong types and values out of range are
 * problems. All problems are collected instead of only the first.
 * @param text the ticket as JSON
 * @return the ticket with its problems; LimitExceeded if the text exceeds the size limit;
 *         InvalidInput if it is not a JSON object or nested too deeply
 */
Result<ParsedTicket> parseTicket(std::string_view text);

/**
 * Returns the ticket as JSON in its complete form: every object with all fields, including
 * defaults. Two tickets have the same content if their complete forms are equal.
 */
nlohmann::json ticketToJson(const Ticket &ticket);

/** Returns the number of objects that a ticket changes. */
std::size_t objectCount(const Ticket &ticket);

/** Calls @p function with each list of changes and the name of its kind, for example "pool". */
template <typename Function>
void forEachKind(const Ticket &ticket, Function function)
{
    function(ticket.pools, std::string_view("pool"));
    function(ticket.services, std::string_view("service"));
    function(ticket.jobs, std::string_view("job"));
    function(ticket.quotas, std::string_view("quota"));
    function(ticket.maintenance, std::string_view("maintenance"));
}

} // namespace dragonflysill
