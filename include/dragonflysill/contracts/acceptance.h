#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/contracts/configuration.h"
#include "dragonflysill/contracts/problem.h"
#include "dragonflysill/contracts/ticket.h"
#include "dragonflysill/contracts/validation.h"
#include "dragonflysill/store/fence.h"
#include "dragonflysill/store/store.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dragonflysill {

/** A ticket that is part of the intended state. */
struct AcceptedTicket
{
    std::int64_t number = 0;
    std::string id;
    std::int64_t acceptedMs = 0; ///< Unix time of the acceptance.
    std::int64_t revision = 0; ///< The store's revision that contains the ticket.
    bool repeated = false; ///< True if an earlier call had accepted it.
};

/** Why a ticket was not accepted. */
struct TicketRefusal
{
    Error error; ///< OutcomeUnknown if the ticket may have been accepted.
    Problems problems;
    std::vector<TicketConflict> conflicts;
};

using AcceptanceOutcome = std::variant<AcceptedTicket, TicketRefusal>;

/**
 * Returns an outcome in the form of the operators' interface: {"accepted":{...}} or
 * {"error":{"kind","message","problems","conflicts"}}.
 */
nlohmann::json outcomeToJson(const AcceptanceOutcome &outcome);

/** A stored ticket. */
struct TicketRecord
{
    std::int64_t number = 0;
    std::int64_t acceptedMs = 0; ///< Unix time of the acceptance.
    std::string acceptedBy; ///< The control process that accepted it.
    std::int64_t revision = 0; ///< The store's revision that contains the ticket.
    nlohmann::json ticket; ///< The ticket in its complete form.
};

void to_json(nlohmann::json &json, const TicketRecord &value);

/** The settings of a TicketProcessor. */
struct TicketProcessorSettings
{
    std::string process; ///< Name of this control process, part of each record.
    std::function<std::int64_t()> nowMs; ///< Unix time in milliseconds.
    std::function<void(int attempt)> pause; ///< Called before a repeated store call.
};

/**
 * Accepts tickets: validates them against the store's state and writes an accepted one in a single
 * transaction, whose comparisons make sure that two racing processes cannot both write. The store
 * and the fence belong to the caller and must outlive it. Thread-safe; holds no lock.
 */
class TicketProcessor
{
public:
    /**
     * Transactions tried for one ticket while other tickets move the head. Of several racing
     * processes one wins each round, so a ticket is refused only after 16 lost rounds.
     */
    static constexpr int attemptLimit{16};

    TicketProcessor(Store &store, const Fence &fence, TicketProcessorSettings settings);

    /**
     * Accepts a ticket or says why not. Applying an accepted ticket again returns its first
     * acceptance.
     * @param text the ticket as JSON
     * @param seenTicket the highest ticket number that this process has seen; a store with a lower
     *                   one is not written to (StoreRegressed)
     */
    AcceptanceOutcome accept(std::string_view text, std::int64_t seenTicket);

    /** Says what accept() would answer, without writing. The number is the one it would get. */
    AcceptanceOutcome validate(std::string_view text, std::int64_t seenTicket);

    /** Reads a ticket; NotFound if no ticket has the number. */
    Result<TicketRecord> ticket(std::int64_t number);

    /** Reads a ticket by its id; NotFound if no ticket has the id. */
    Result<TicketRecord> ticketById(std::string_view id);

    /**
     * Reads accepted tickets, newest first.
     * @param before only tickets with a lower number; 0 for the newest
     * @param limit the largest number of tickets to return, at most 1000
     */
    Result<std::vector<TicketRecord>> history(std::int64_t before, int limit);

private:
    struct State;
    struct Attempt;

    AcceptanceOutcome process(std::string_view text, std::int64_t seenTicket, bool write);
    std::optional<AcceptanceOutcome> tryOnce(Attempt &attempt);
    Result<State> read(const std::string &id);
    Result<std::vector<TicketRecord>> range(std::int64_t first, std::int64_t end);
    AcceptanceOutcome known(const Ticket &ticket, std::int64_t number, bool repeated);
    std::optional<TicketRefusal> check(const ParsedTicket &parsed, const Configuration &current);
    std::optional<Error> addDeletionConflicts(const Ticket &ticket, const Configuration &current,
                                              std::vector<TicketConflict> &conflicts);
    void nameWinners(std::vector<TicketConflict> &conflicts);
    std::string recordText(const Ticket &ticket, std::int64_t number,
                           std::int64_t acceptedMs) const;
    static Transaction transactionFor(const Ticket &ticket, const State &state,
                                      const Compare &fence, const std::string &record);

    Store &m_store;
    const Fence &m_fence;
    TicketProcessorSettings m_settings;
};

} // namespace dragonflysill
