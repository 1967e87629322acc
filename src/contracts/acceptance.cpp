#include "dragonflysill/contracts/acceptance.h"

#include "dragonflysill/base/storekeys.h"
#include "dragonflysill/contracts/codec.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace dragonflysill {

namespace internal {

namespace {

constexpr std::string_view objectsPrefix = "/dragonflysill/objects/";

/** Problems reported at once; a hostile ticket of 1 MB could have several 100,000. */
constexpr std::size_t problemLimit{1000};

/** Records read with one call; a record can have 1 MB. */
constexpr std::int64_t readBatch{16};

/** Lost answers after which a ticket's outcome is reported as unknown. */
constexpr int lostAnswerLimit{4};

/** Winning tickets whose author is read for a conflict answer. */
constexpr std::size_t winnerReadLimit{8};

constexpr std::int64_t largestNumber{9'999'999'999}; // keys of tickets have ten digits

/** Tickets read to find deletions after a base; an older base must be renewed by its author. */
constexpr std::int64_t deletionSearchLimit{1000};

TicketRefusal refusal(ErrorKind kind, std::string_view detail = {})
{
    return {Error(kind, detail), {}, {}};
}

std::string inQuotes(std::string_view text)
{
    return "'" + std::string(text) + "'";
}

/** Returns true if a failed write may have taken effect. */
bool mayHaveHappened(const Error &error)
{
    return error.is(ErrorKind::OutcomeUnknown) || error.is(ErrorKind::Corrupt)
           || error.is(ErrorKind::DeadlineExceeded);
}

/** Returns false if the failed transaction's read of the member key shows another registration. */
bool memberKeyMatches(const TransactionResult &result, const Compare &fence)
{
    return result.ranges.size() == 1 && result.ranges[0].keyValues.size() == 1
           && result.ranges[0].keyValues[0].createRevision == fence.revision;
}

void limitProblems(Problems &problems)
{
    if (problems.size() <= problemLimit)
        return;
    const std::size_t more = problems.size() - problemLimit;
    problems.resize(problemLimit);
    problems.push_back({"", std::to_string(more) + " more problems are not listed",
                        "correct the listed ones first"});
}

std::string conflictDetail(const std::vector<TicketConflict> &conflicts)
{
    std::string text;
    for (const auto &it : conflicts) {
        text += (text.empty() ? "" : ", ") + it.kind + " " + inQuotes(it.name)
                + " was changed by ticket " + std::to_string(it.ticket);
        if (!it.ticketId.empty())
            text += " (" + inQuotes(it.ticketId) + " of " + it.author + ")";
    }
    return text;
}

/** A read that got no answer wrote nothing, whatever the store client says about writes. */
Error readError(const Error &error)
{
    if (error.is(ErrorKind::OutcomeUnknown) || error.is(ErrorKind::DeadlineExceeded))
        return Error(ErrorKind::StoreUnavailable, error.detail);
    return error;
}

template <typename T>
bool decodeInto(ByName<T> &objects, std::string_view prefix, const KeyValue &kv)
{
    if (!std::string_view(kv.key).starts_with(prefix))
        return true;
    auto decoded = decodeStored<T>(kv.value);
    if (!decoded)
        return false;
    objects.insert_or_assign(kv.key.substr(prefix.size()), std::move(*decoded));
    return true;
}

bool decodeObject(Configuration &configuration, const KeyValue &kv)
{
    return decodeInto(configuration.pools, storekeys::pools, kv)
           && decodeInto(configuration.services, storekeys::services, kv)
           && decodeInto(configuration.jobs, storekeys::jobs, kv)
           && decodeInto(configuration.quotas, storekeys::quotas, kv)
           && decodeInto(configuration.maintenance, storekeys::maintenance, kv);
}

bool decodeHead(Configuration &configuration, const KeyValue &kv)
{
    const auto json = nlohmann::json::parse(kv.value, nullptr, false);
    if (!json.is_object() || !json.contains("number") || !json["number"].is_number_integer())
        return false;
    configuration.ticket = json["number"].get<std::int64_t>();
    if (json.contains("id") && json["id"].is_string())
        configuration.ticketId = json["id"].get<std::string>();
    return configuration.ticket > 0;
}

std::optional<std::int64_t> decodeNumber(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_number_integer() || json.get<std::int64_t>() <= 0)
        return std::nullopt;
    return json.get<std::int64_t>();
}

Result<TicketRecord> decodeTicketRecord(const KeyValue &kv)
{
    const auto json = nlohmann::json::parse(kv.value, nullptr, false);
    if (!json.is_object())
        return Error(ErrorKind::Corrupt, "stored ticket " + kv.key + " is not a JSON object");
    try {
        TicketRecord record;
        json.at("number").get_to(record.number);
        json.at("accepted_ms").get_to(record.acceptedMs);
        json.at("accepted_by").get_to(record.acceptedBy);
        record.ticket = json.at("ticket");
        record.ticket.at("id").get_ref<const std::string &>();
        record.revision = kv.modRevision;
        return record;
    } catch (const nlohmann::json::exception &e) {
        return Error(ErrorKind::Corrupt, "stored ticket " + kv.key + ": " + e.what());
    }
}

template <typename T>
void addOperations(std::vector<Operation> &operations, const std::vector<ObjectChange<T>> &changes,
                   std::string_view prefix, std::int64_t number)
{
    for (const auto &it : changes) {
        const std::string key = storekeys::join(prefix, it.name);
        if (!it.state) {
            operations.emplace_back(DeleteOperation{key, {}});
            continue;
        }
        nlohmann::json object = *it.state;
        object["ticket"] = number;
        operations.emplace_back(PutOperation{key, object.dump(), 0});
    }
}

/** Returns the name of a kind's list in a ticket. */
std::string listName(std::string_view kind)
{
    return kind == "maintenance" ? "maintenance" : std::string(kind) + "s";
}

/** Returns true if a list of a stored ticket deletes the object. */
bool deletes(const nlohmann::json &list, const std::string &name)
{
    return std::any_of(list.begin(), list.end(), [&name](const nlohmann::json &element) {
        return element.is_object() && element.value("delete", false)
               && (element.value("name", std::string()) == name
                   || element.value("team", std::string()) == name);
    });
}

/** Returns kind and name of every object that the ticket names and the configuration lacks. */
std::set<std::pair<std::string, std::string>> absentObjects(const Ticket &ticket,
                                                            const Configuration &current)
{
    std::set<std::pair<std::string, std::string>> absent;
    const auto collect = [&absent](const auto &changes, const auto &objects, const char *kind) {
        for (const auto &it : changes) {
            if (objects.count(it.name) == 0)
                absent.emplace(kind, it.name);
        }
    };
    collect(ticket.pools, current.pools, "pool");
    collect(ticket.services, current.services, "service");
    collect(ticket.jobs, current.jobs, "job");
    collect(ticket.quotas, current.quotas, "quota");
    collect(ticket.maintenance, current.maintenance, "maintenance");
    return absent;
}

/** Adds a conflict for each object of @p ticket that the stored ticket deleted. */
void findDeletions(const TicketRecord &record, const Ticket &ticket,
                   const std::set<std::pair<std::string, std::string>> &absent,
                   std::vector<TicketConflict> &conflicts)
{
    forEachKind(ticket, [&](const auto &changes, std::string_view kind) {
        const std::string list = listName(kind);
        const auto stored = record.ticket.find(list);
        if (stored == record.ticket.end() || !stored->is_array())
            return;
        for (const auto &it : changes) {
            if (absent.count({std::string(kind), it.name}) == 0 || !deletes(*stored, it.name))
                continue;
            conflicts.push_back({it.pointer, std::string(kind), it.name, record.number, {}, {}});
        }
    });
}

} // namespace

} // namespace internal

using namespace internal;

/** What the store held at one revision. */
struct TicketProcessor::State
{
    Configuration configuration;
    std::int64_t headRevision = 0; ///< Modification revision of the head; 0 if there is none.
    std::int64_t revision = 0;
    std::optional<std::int64_t> knownNumber; ///< Number of the ticket with the id in question.
};

/** One call of accept() over its repeated transactions. */
struct TicketProcessor::Attempt
{
    const ParsedTicket &parsed;
    std::int64_t seenTicket;
    bool write;
    /**
     * Head revision of a transaction whose answer was lost. Until the head has moved on, that
     * transaction can still take effect, so no failure may be reported.
     */
    std::optional<std::int64_t> unknownHead;
    int lostAnswers;

    /** Ends the call with an error, or lets it go on if the outcome is unknown. */
    std::optional<AcceptanceOutcome> settle(const Error &error)
    {
        if (!unknownHead)
            return TicketRefusal{error, {}, {}};
        ++lostAnswers;
        return std::nullopt;
    }
};

nlohmann::json outcomeToJson(const AcceptanceOutcome &outcome)
{
    if (const auto *accepted = std::get_if<AcceptedTicket>(&outcome))
        return {{"accepted",
                 {{"number", accepted->number},
                  {"id", accepted->id},
                  {"accepted_ms", accepted->acceptedMs},
                  {"revision", accepted->revision},
                  {"repeated", accepted->repeated}}}};
    const auto &refused = std::get<TicketRefusal>(outcome);
    return {{"error",
             {{"kind", errorName(refused.error.code)},
              {"message", refused.error.text()},
              {"problems", refused.problems},
              {"conflicts", refused.conflicts}}}};
}

void to_json(nlohmann::json &json, const TicketRecord &value)
{
    json = {{"number", value.number},
            {"accepted_ms", value.acceptedMs},
            {"accepted_by", value.acceptedBy},
            {"revision", value.revision},
            {"ticket", value.ticket}};
}

TicketProcessor::TicketProcessor(Store &store, const Fence &fence, TicketProcessorSettings settings)
    : m_store(store)
    , m_fence(fence)
    , m_settings(std::move(settings))
{
}

AcceptanceOutcome TicketProcessor::accept(std::string_view text, std::int64_t seenTicket)
{
    return process(text, seenTicket, true);
}

AcceptanceOutcome TicketProcessor::validate(std::string_view text, std::int64_t seenTicket)
{
    return process(text, seenTicket, false);
}

AcceptanceOutcome TicketProcessor::process(std::string_view text, std::int64_t seenTicket,
                                           bool write)
{
    auto parsed = parseTicket(text);
    if (!parsed)
        return TicketRefusal{parsed.error(), {}, {}};
    Attempt attempt{*parsed, seenTicket, write, std::nullopt, 0};
    for (int n = 0; n < attemptLimit && attempt.lostAnswers < lostAnswerLimit; ++n) {
        if (n > 0)
            m_settings.pause(n);
        if (auto outcome = tryOnce(attempt))
            return std::move(*outcome);
    }
    if (attempt.unknownHead)
        return refusal(ErrorKind::OutcomeUnknown, "ticket " + inQuotes(parsed->ticket.id));
    return refusal(ErrorKind::LimitExceeded,
                   "other tickets moved the head " + std::to_string(attemptLimit)
                           + " times in a row; nothing was written, apply the ticket again");
}

std::optional<AcceptanceOutcome> TicketProcessor::tryOnce(Attempt &attempt)
{
    const Ticket &ticket = attempt.parsed.ticket;
    const auto state = read(ticket.id);
    if (!state)
        return attempt.settle(state.error());
    if (attempt.unknownHead && *attempt.unknownHead != state->headRevision)
        attempt.unknownHead.reset();
    const Configuration &current = state->configuration;
    if (current.ticket < attempt.seenTicket)
        return attempt.settle(Error(ErrorKind::StoreRegressed,
                                    "the store's newest ticket is " + std::to_string(current.ticket)
                                            + ", this process has seen "
                                            + std::to_string(attempt.seenTicket)));
    if (state->knownNumber && attempt.parsed.problems.empty())
        return known(ticket, *state->knownNumber, attempt.lostAnswers == 0);
    if (auto refused = check(attempt.parsed, current))
        return std::move(*refused);
    const std::int64_t number = current.ticket + 1;
    if (!attempt.write)
        return AcceptedTicket{number, ticket.id, 0, 0, false};
    const auto fence = m_fence.compare();
    if (!fence)
        return attempt.settle(
                Error(ErrorKind::LeaseLost, "this control process is not registered in the store"));
    const std::int64_t acceptedMs = m_settings.nowMs();
    const std::string record = recordText(ticket, number, acceptedMs);
    if (record.size() > ticketSizeLimitBytes)
        return refusal(ErrorKind::LimitExceeded,
                       "the ticket with all defaults has " + std::to_string(record.size())
                               + " bytes, the limit is " + std::to_string(ticketSizeLimitBytes)
                               + "; split it into several tickets");
    const auto result = m_store.commit(transactionFor(ticket, *state, *fence, record));
    if (result && result->succeeded)
        return AcceptedTicket{number, ticket.id, acceptedMs, result->revision, false};
    if (result)
        return memberKeyMatches(*result, *fence)
                       ? std::nullopt
                       : attempt.settle(Error(ErrorKind::LeaseLost,
                                              "the registration of this control process is gone"));
    if (!mayHaveHappened(result.error()))
        return attempt.settle(result.error());
    attempt.unknownHead = state->headRevision;
    ++attempt.lostAnswers;
    return std::nullopt;
}

Result<TicketProcessor::State> TicketProcessor::read(const std::string &id)
{
    const RangeOperation objects{std::string(objectsPrefix), storekeys::rangeEnd(objectsPrefix)};
    Transaction transaction;
    transaction.success = {RangeOperation{std::string(storekeys::latestTicket), {}}, objects,
                           RangeOperation{storekeys::join(storekeys::ticketIds, id), {}}};
    const auto result = m_store.commit(transaction);
    if (!result)
        return readError(result.error());
    if (result->ranges.size() != transaction.success.size())
        return Error(ErrorKind::Corrupt, "the store answered a read with too few ranges");
    State state;
    state.revision = result->revision;
    for (const auto &it : result->ranges[0].keyValues) {
        if (!decodeHead(state.configuration, it))
            return Error(ErrorKind::Corrupt, "stored value of " + it.key);
        state.headRevision = it.modRevision;
    }
    for (const auto &it : result->ranges[1].keyValues) {
        if (!decodeObject(state.configuration, it))
            return Error(ErrorKind::Corrupt, "stored value of " + it.key);
    }
    if (id.empty())
        return state;
    for (const auto &it : result->ranges[2].keyValues) {
        state.knownNumber = decodeNumber(it.value);
        if (!state.knownNumber)
            return Error(ErrorKind::Corrupt, "stored value of " + it.key);
    }
    return state;
}

AcceptanceOutcome TicketProcessor::known(const Ticket &ticket, std::int64_t number, bool repeated)
{
    const auto record = this->ticket(number);
    if (!record)
        return refusal(ErrorKind::OutcomeUnknown,
                       "the id belongs to ticket " + std::to_string(number)
                               + ", which could not be read (" + record.error().text() + ")");
    if (record->ticket != ticketToJson(ticket))
        return refusal(ErrorKind::IdReused, "id " + inQuotes(ticket.id) + " is that of ticket "
                                                    + std::to_string(number));
    return AcceptedTicket{number, ticket.id, record->acceptedMs, record->revision, repeated};
}

std::optional<TicketRefusal> TicketProcessor::check(const ParsedTicket &parsed,
                                                    const Configuration &current)
{
    const Ticket &ticket = parsed.ticket;
    Problems problems = parsed.problems;
    if (ticket.base > current.ticket)
        problems.push_back({"/base",
                            "base " + std::to_string(ticket.base)
                                    + " is higher than the newest ticket, "
                                    + std::to_string(current.ticket),
                            "use the number of the newest ticket that you have read"});
    std::vector<TicketConflict> conflicts;
    if (objectCount(ticket) <= ticketObjectLimit) {
        Problems further = validateTicket(ticket, current);
        problems.insert(problems.end(), std::make_move_iterator(further.begin()),
                        std::make_move_iterator(further.end()));
        conflicts = findConflicts(ticket, current);
        if (auto error = addDeletionConflicts(ticket, current, conflicts))
            return TicketRefusal{std::move(*error), std::move(problems), std::move(conflicts)};
    }
    if (problems.empty() && conflicts.empty())
        return std::nullopt;
    limitProblems(problems);
    if (conflicts.empty())
        return TicketRefusal{
                Error(ErrorKind::ValidationFailed, std::to_string(problems.size()) + " problem(s)"),
                std::move(problems),
                {}};
    nameWinners(conflicts);
    return TicketRefusal{Error(ErrorKind::Conflict, conflictDetail(conflicts)), std::move(problems),
                         std::move(conflicts)};
}

std::optional<Error> TicketProcessor::addDeletionConflicts(const Ticket &ticket,
                                                           const Configuration &current,
                                                           std::vector<TicketConflict> &conflicts)
{
    const auto absent = absentObjects(ticket, current);
    if (absent.empty() || ticket.base >= current.ticket)
        return std::nullopt;
    if (current.ticket - ticket.base > deletionSearchLimit)
        return Error(ErrorKind::Conflict,
                     "base " + std::to_string(ticket.base) + " is more than "
                             + std::to_string(deletionSearchLimit)
                             + " tickets old; read the current state and set base to "
                             + std::to_string(current.ticket));
    for (std::int64_t first = ticket.base + 1; first <= current.ticket; first += readBatch) {
        const auto records = range(first, std::min(first + readBatch, current.ticket + 1));
        if (!records)
            return records.error();
        for (const auto &record : *records)
            findDeletions(record, ticket, absent, conflicts);
    }
    return std::nullopt;
}

void TicketProcessor::nameWinners(std::vector<TicketConflict> &conflicts)
{
    std::map<std::int64_t, Result<TicketRecord>> winners;
    for (auto &it : conflicts) {
        if (winners.size() < winnerReadLimit && winners.count(it.ticket) == 0)
            winners.emplace(it.ticket, ticket(it.ticket));
        const auto winner = winners.find(it.ticket);
        if (winner == winners.end() || !winner->second)
            continue;
        it.ticketId = winner->second->ticket.value("id", std::string());
        it.author = winner->second->ticket.value("author", std::string());
    }
}

std::string TicketProcessor::recordText(const Ticket &ticket, std::int64_t number,
                                        std::int64_t acceptedMs) const
{
    return nlohmann::json{{"number", number},
                          {"accepted_ms", acceptedMs},
                          {"accepted_by", m_settings.process},
                          {"ticket", ticketToJson(ticket)}}
            .dump();
}

Transaction TicketProcessor::transactionFor(const Ticket &ticket, const State &state,
                                            const Compare &fence, const std::string &record)
{
    const std::int64_t number = state.configuration.ticket + 1;
    const std::string head(storekeys::latestTicket);
    const std::string idKey = storekeys::join(storekeys::ticketIds, ticket.id);
    Transaction transaction;
    transaction.compares
            = {{head, CompareTarget::ModRevision, CompareRelation::Equal, state.headRevision, {}},
               {idKey, CompareTarget::CreateRevision, CompareRelation::Equal, 0, {}},
               fence};
    const nlohmann::json headValue{{"number", number}, {"id", ticket.id}};
    transaction.success = {PutOperation{head, headValue.dump(), 0},
                           PutOperation{storekeys::ticket(number), record, 0},
                           PutOperation{idKey, std::to_string(number), 0}};
    addOperations(transaction.success, ticket.pools, storekeys::pools, number);
    addOperations(transaction.success, ticket.services, storekeys::services, number);
    addOperations(transaction.success, ticket.jobs, storekeys::jobs, number);
    addOperations(transaction.success, ticket.quotas, storekeys::quotas, number);
    addOperations(transaction.success, ticket.maintenance, storekeys::maintenance, number);
    transaction.failure = {RangeOperation{fence.key, {}}};
    return transaction;
}

Result<TicketRecord> TicketProcessor::ticket(std::int64_t number)
{
    if (number <= 0 || number > largestNumber)
        return Error(ErrorKind::NotFound, "ticket " + std::to_string(number));
    const auto result = m_store.range({storekeys::ticket(number), {}});
    if (!result)
        return readError(result.error());
    if (result->keyValues.empty())
        return Error(ErrorKind::NotFound, "ticket " + std::to_string(number));
    return decodeTicketRecord(result->keyValues.front());
}

Result<TicketRecord> TicketProcessor::ticketById(std::string_view id)
{
    const auto result = m_store.range({storekeys::join(storekeys::ticketIds, id), {}});
    if (!result)
        return readError(result.error());
    if (result->keyValues.empty())
        return Error(ErrorKind::NotFound, "ticket with id " + inQuotes(id));
    const auto number = decodeNumber(result->keyValues.front().value);
    if (!number)
        return Error(ErrorKind::Corrupt, "stored value of " + result->keyValues.front().key);
    return ticket(*number);
}

Result<std::vector<TicketRecord>> TicketProcessor::history(std::int64_t before, int limit)
{
    constexpr int largestLimit{1000};
    limit = std::clamp(limit, 1, largestLimit);
    if (before <= 0) {
        const auto state = m_store.range({std::string(storekeys::latestTicket), {}});
        if (!state)
            return readError(state.error());
        Configuration head;
        if (!state->keyValues.empty() && !decodeHead(head, state->keyValues.front()))
            return Error(ErrorKind::Corrupt,
                         "stored value of " + std::string(storekeys::latestTicket));
        before = head.ticket + 1;
    }
    auto records = range(std::max<std::int64_t>(before - limit, 1), before);
    if (records)
        std::reverse(records->begin(), records->end());
    return records;
}

Result<std::vector<TicketRecord>> TicketProcessor::range(std::int64_t first, std::int64_t end)
{
    std::vector<TicketRecord> records;
    if (first >= end)
        return records;
    const auto result = m_store.range({storekeys::ticket(first), storekeys::ticket(end)});
    if (!result)
        return readError(result.error());
    for (const auto &it : result->keyValues) {
        auto record = decodeTicketRecord(it);
        if (!record)
            return record.error();
        records.push_back(std::move(*record));
    }
    return records;
}

} // namespace dragonflysill
