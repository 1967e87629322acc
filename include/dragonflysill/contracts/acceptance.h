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

/** The result of an accepted ticket. */
struct AcceptedTicket
{
    std::int64_t number = 0;
    std::string id;
    std::int64_t acceptedMs = 0; ///< Unix time of the acceptance.
    std::int64_t revision = 0; ///< The store's revision that contains the ticket.
    bool repeated = false; ///< True if an earlier call accepted the ticket.
};

/** The reason why a ticket was not accepted. */
struct TicketRefusal
{
    Error error; ///< OutcomeUnknown if the ticket may have been accepted.
    Problems problems;
    std::vector<TicketConflict> conflicts;
};

using AcceptanceOutcome = std::variant<AcceptedTicket, TicketRefusal>;

/**
 * Returns an outcome as JSON in the format of the operators' interface: {"accepted":{...}} or
 * {"error":{"kind","message","problems","conflicts"}}.
 */
nlohmann::json outcomeToJson(const AcceptanceOutcome &outcome);

/** A ticket as stored at its acceptance. */
struct TicketRecord
{
    std::int64_t number = 0;
    std::int64_t acceptedMs = 0; ///< Unix time of the acceptance.
    std::string acceptedBy; ///< The control process that accepted it.
    std::int64_t revision = 0; ///< The store's revision that contains the ticket.
    nlohmann::json ticket; ///< The ticket in its complete form.
};

void to_json(nlohmann::json &json, const TicketRecord &value);

/** Settings of the ticket processing. */
struct TicketProcessorSettings
{
    std::string process; ///< Name of this control process; stored with each ticket.
    std::function<std::int64_t()> nowMs; ///< Unix time in milliseconds.
    std::function<void(int attempt)> pause; ///< Called before a repeated store call.
};

/**
 * Validates tickets against the state in the store and writes accepted ones. Each ticket is written
 * in a single transaction; its comparisons ensure that of two concurrent processes only one writes.
 * The store and the fence belong to the caller and must outlive it. Thread-safe; holds no lock.
 */
class TicketProcessor
{
public:
    /**
     * Maximum number of transactions for one ticket. A transaction fails if another ticket is
     * accepted first; one of several concurrent processes succeeds each time, so a ticket is
     * refused only after 16 lost races.
     */
    static constexpr int attemptLimit{16};

    TicketProcessor(Store &store, const Fence &fence, TicketProcessorSettings settings);

    /**
     * Accepts a ticket or returns the reason for its refusal. For a ticket that was accepted
     * before, returns the result of the first acceptance.
     * @param text the ticket as JSON
     * @param seenTicket the highest ticket number that this process has seen; if the store's newest
     *                   ticket is older, the call fails with StoreRegressed
     */
    AcceptanceOutcome accept(std::string_view text, std::int64_t seenTicket);

    /**
     * Returns the outcome that accept() would have, without writing anything. The number is the one
     * that the ticket would get.
     */
    AcceptanceOutcome validate(std::string_view text, std::int64_t seenTicket);

    /** Reads a ticket; NotFound if no ticket has the number. */
    Result<TicketRecord> ticket(std::int64_t number);

    /** Reads a ticket by its id; NotFound if no ticket has the id. */
    Result<TicketRecord> ticketById(std::string_view id);

    /**
     * Reads accepted tickets, newest first.
     * @param before return only tickets with a lower number; 0 starts at the newest
     * @param limit the maximum number of tickets to return, at most 1000
     */
    Result<std::vector<TicketRecord>> history(std::int64_t before, int limit);

private:
    struct State;
    struct Attempt;

    AcceptanceOutcome process(std::string_view text, std::int64_t seenTicket, bool write);
    std::optional<AcceptanceOutcome> tryAccept(Attempt &attempt);
    Result<State> read(const std::string &id);
    Result<std::vector<TicketRecord>> range(std::int64_t first, std::int64_t end);
    AcceptanceOutcome resolveKnownId(const Ticket &ticket, std::int64_t number, bool repeated);
    std::optional<TicketRefusal> findRefusal(const ParsedTicket &parsed,
                                             const Configuration &current);
    std::optional<Error> addDeletionConflicts(const Ticket &ticket, const Configuration &current,
                                              std::vector<TicketConflict> &conflicts);
    void addConflictAuthors(std::vector<TicketConflict> &conflicts);
    std::string recordText(const Ticket &ticket, std::int64_t number,
                           std::int64_t acceptedMs) const;
    static Transaction transactionFor(const Ticket &ticket, const State &state,
                                      const Compare &fence, const std::string &record);

    Store &m_store;
    const Fence &m_fence;
    TicketProcessorSettings m_settings;
};

} // namespace dragonflysill
