#pragma once

#include "dragonflysill/contracts/configuration.h"
#include "dragonflysill/contracts/problem.h"
#include "dragonflysill/contracts/ticket.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflysill {

/** An object that another ticket changed after the base of the checked ticket. */
struct TicketConflict
{
    std::string pointer; ///< JSON pointer to the object in the checked ticket.
    std::string kind; ///< Kind of the object, for example "pool".
    std::string name; ///< Name of the object.
    std::int64_t ticket = 0; ///< Number of the ticket that changed it.
    std::string ticketId; ///< Id of that ticket; empty if it could not be read.
    std::string author; ///< Author of that ticket; empty if it could not be read.

    bool operator==(const TicketConflict &) const = default;
};

void to_json(nlohmann::json &json, const TicketConflict &value);

/** Returns the configuration after a ticket; changed objects get @p number as their ticket. */
Configuration applyTicket(const Ticket &ticket, const Configuration &current, std::int64_t number);

/**
 * Checks the configuration that would result from a ticket. Reports references to missing objects,
 * instances or addresses in two pools, budgets, buffers and quotas that cannot be met, and
 * deletions of objects that are still in use. Only problems that the ticket causes are reported.
 */
Problems validateTicket(const Ticket &ticket, const Configuration &current);

/** Returns the objects of a ticket that were changed after its base and still exist. */
std::vector<TicketConflict> findConflicts(const Ticket &ticket, const Configuration &current);

} // namespace dragonflysill
