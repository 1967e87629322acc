#include "dragonflysill/contracts/ticket.h"

#include "dragonflysill/contracts/codec.h"
#include "fieldreader.h"

#include <limits>
#include <set>
#include <utility>

namespace dragonflysill {

namespace internal {

namespace {

// Real deployments stay within these ranges; a value outside is assumed to be a typing error.
constexpr NumberRange countRange{0, 100'000};
constexpr NumberRange deadlineRangeMs{1, 3'600'000};
constexpr NumberRange slotRange{1, 10'000};
constexpr NumberRange rateRange{0, 10'000'000};
constexpr NumberRange burstRange{1, 1'000};
constexpr NumberRange coreRange{0, 10'000'000};
constexpr NumberRange taskCoreRange{0, 10'000};
constexpr NumberRange memoryRangeMb{0, 1e12};
constexpr NumberRange runRangeS{0, 31'536'000};
constexpr NumberRange taskRange{1, 100'000};

/** Thrown by the callback of the JSON parser, which can stop the parser only this way. */
struct NestingTooDeep
{
};

/** Limits the nesting and reports repeated fields, of which the parser silently keeps only one. */
class StructureCheck
{
public:
    explicit StructureCheck(Problems &problems)
        : m_problems(problems)
    {
    }

    bool operator()(int depth, nlohmann::json::parse_event_t event, nlohmann::json &parsed)
    {
        using Event = nlohmann::json::parse_event_t;
        if (depth > ticketNestingLimit)
            throw NestingTooDeep();
        if (event == Event::object_start)
            m_fields.emplace_back();
        else if (event == Event::object_end)
            m_fields.pop_back();
        else if (event == Event::key && !m_fields.back().insert(parsed.get<std::string>()).second)
            m_problems.push_back(
                    {"", "field " + FieldReader::shortened(parsed) + " occurs twice in one object",
                     "remove one of the two"});
        return true;
    }

private:
    Problems &m_problems;
    std::vector<std::set<std::string>> m_fields;
};

void read(FieldReader &fields, Problems &problems, Pool &pool)
{
    fields.flag("spare", pool.spare);
    fields.integer("max_unavailable", pool.maxUnavailable, countRange, Presence::Required);
    std::size_t n = 0;
    for (const auto &it : fields.array("instances", Presence::Required)) {
        FieldReader element(it, fields.pointerOf("instances") + "/" + std::to_string(n++),
                            problems);
        InstanceDeclaration instance;
        element.name("name", instance.name, Presence::Required);
        element.address("address", instance.address);
        element.name("zone", instance.zone, Presence::Required);
        element.name("rack", instance.rack, Presence::Optional);
        element.finish();
        pool.instances.push_back(std::move(instance));
    }
}

void read(FieldReader &fields, Problems &problems, Service &service)
{
    fields.name("pool", service.pool, Presence::Required);
    fields.integer("slots_per_instance", service.slotsPerInstance, slotRange);
    fields.integer("connections_per_instance", service.connectionsPerInstance, slotRange);
    fields.number("mean_rate_per_s", service.meanRatePerSecond, rateRange, Presence::Required);
    fields.number("burst_factor", service.burstFactor, burstRange);
    std::size_t n = 0;
    for (const auto &it : fields.array("routes", Presence::Required)) {
        FieldReader element(it, fields.pointerOf("routes") + "/" + std::to_string(n++), problems);
        Route route;
        std::int64_t deadlineMs = route.deadline.count();
        element.text("path_prefix", route.pathPrefix, Presence::Required);
        element.integer("deadline_ms", deadlineMs, deadlineRangeMs, Presence::Required);
        element.flag("repeatable", route.repeatable);
        element.finish();
        route.deadline = std::chrono::milliseconds(deadlineMs);
        if (!route.pathPrefix.empty() && route.pathPrefix.front() != '/')
            element.report("path_prefix", "does not start with '/'", "start the prefix with '/'");
        service.routes.push_back(std::move(route));
    }
}

void read(FieldReader &fields, Problems &, Job &job)
{
    std::int64_t expectedRun = 0;
    fields.name("team", job.team, Presence::Required);
    fields.name("pool", job.pool, Presence::Optional);
    fields.integer("tasks", job.tasks, taskRange, Presence::Required);
    fields.number("cores", job.cores, taskCoreRange, Presence::Required);
    fields.integer("memory_mb", job.memoryMb, memoryRangeMb, Presence::Required);
    fields.integer("accelerators", job.accelerators, countRange);
    fields.choice("priority", job.priority,
                  {{"urgent", Priority::Urgent},
                   {"normal", Priority::Normal},
                   {"batch", Priority::Batch}});
    fields.flag("gang", job.gang);
    fields.flag("checkpointable", job.checkpointable);
    fields.integer("expected_run_s", expectedRun, runRangeS);
    fields.flag("cancelled", job.cancelled);
    job.expectedRun = std::chrono::seconds(expectedRun);
}

void read(FieldReader &fields, Problems &, Quota &quota)
{
    fields.number("cores", quota.cores, coreRange, Presence::Required);
    fields.integer("memory_mb", quota.memoryMb, memoryRangeMb, Presence::Required);
    fields.integer("accelerators", quota.accelerators, countRange);
}

void read(FieldReader &fields, Problems &problems, Maintenance &order)
{
    std::size_t n = 0;
    for (const auto &it : fields.array("pools", Presence::Required)) {
        const std::string pointer = fields.pointerOf("pools") + "/" + std::to_string(n++);
        if (it.is_string())
            order.pools.push_back(it.get<std::string>());
        else
            problems.push_back({pointer, "expected a string, found " + FieldReader::shortened(it),
                                "give the name of a pool in quotes"});
    }
    fields.choice("action", order.action, {{"reboot", MaintenanceAction::Reboot}});
    fields.choice("state", order.state,
                  {{"running", MaintenanceState::Running},
                   {"paused", MaintenanceState::Paused},
                   {"cancelled", MaintenanceState::Cancelled}});
    fields.integer("max_parallel", order.maxParallel, {1, countRange.highest});
}

template <typename T>
std::string &nameOf(T &object)
{
    return object.name;
}

std::string &nameOf(Quota &quota)
{
    return quota.team;
}

/** Returns the field with the name of an object; a quota has the name of its team. */
template <typename T>
std::string_view nameField()
{
    return std::is_same_v<T, Quota> ? "team" : "name";
}

template <typename T>
ObjectChange<T> readChange(const nlohmann::json &json, std::string pointer, Problems &problems)
{
    ObjectChange<T> change;
    change.pointer = pointer;
    const std::size_t before = problems.size();
    FieldReader fields(json, std::move(pointer), problems);
    T object;
    fields.name(nameField<T>(), nameOf(object), Presence::Required);
    change.name = nameOf(object);
    if (json.is_object() && json.contains("delete")) {
        bool deleted = false;
        fields.flag("delete", deleted);
        if (!deleted && json["delete"].is_boolean())
            fields.report("delete", "must be true",
                          "remove the field, or set it to true to delete the object");
    } else if (json.is_object()) {
        read(fields, problems, object);
        change.state = std::move(object);
    }
    fields.finish();
    change.malformed = problems.size() != before;
    return change;
}

template <typename T>
void readChanges(FieldReader &fields, std::string_view field, Problems &problems,
                 std::vector<ObjectChange<T>> &changes)
{
    std::set<std::string> names;
    for (const auto &it : fields.array(field, Presence::Optional)) {
        std::string pointer = fields.pointerOf(field) + "/" + std::to_string(changes.size());
        changes.push_back(readChange<T>(it, std::move(pointer), problems));
        auto &change = changes.back();
        if (change.name.empty() || names.insert(change.name).second)
            continue;
        change.malformed = true;
        problems.push_back({change.pointer + "/" + std::string(nameField<T>()),
                            "'" + change.name + "' occurs twice in " + std::string(field),
                            "keep one element for each object"});
    }
}

template <typename T>
nlohmann::json changesToJson(const std::vector<ObjectChange<T>> &changes)
{
    auto array = nlohmann::json::array();
    for (const auto &it : changes) {
        if (!it.state) {
            array.push_back({{nameField<T>(), it.name}, {"delete", true}});
            continue;
        }
        nlohmann::json object = *it.state;
        object.erase("ticket");
        array.push_back(std::move(object));
    }
    return array;
}

} // namespace

} // namespace internal

Result<ParsedTicket> parseTicket(std::string_view text)
{
    using namespace internal;
    if (text.size() > ticketSizeLimitBytes)
        return Error(ErrorKind::LimitExceeded, "the ticket has " + std::to_string(text.size())
                                                       + " bytes, the limit is "
                                                       + std::to_string(ticketSizeLimitBytes)
                                                       + "; split it into several tickets");
    ParsedTicket parsed;
    nlohmann::json json;
    try {
        json = nlohmann::json::parse(text, StructureCheck(parsed.problems));
    } catch (const nlohmann::json::exception &e) {
        return Error(ErrorKind::InvalidInput, std::string("the ticket is not JSON: ") + e.what());
    } catch (const NestingTooDeep &) {
        return Error(ErrorKind::InvalidInput, "the ticket is nested deeper than "
                                                      + std::to_string(ticketNestingLimit)
                                                      + " levels");
    }
    if (!json.is_object())
        return Error(ErrorKind::InvalidInput, "the ticket is not a JSON object");
    Ticket &ticket = parsed.ticket;
    FieldReader fields(json, "", parsed.problems);
    constexpr auto maxTicketNumber = 9'999'999'999.0; // ticket keys have ten digits
    fields.name("id", ticket.id, Presence::Required);
    fields.integer("base", ticket.base, {0, maxTicketNumber}, Presence::Required);
    fields.text("author", ticket.author, Presence::Required);
    fields.text("reason", ticket.reason, Presence::Required);
    readChanges(fields, "pools", parsed.problems, ticket.pools);
    readChanges(fields, "services", parsed.problems, ticket.services);
    readChanges(fields, "jobs", parsed.problems, ticket.jobs);
    readChanges(fields, "quotas", parsed.problems, ticket.quotas);
    readChanges(fields, "maintenance", parsed.problems, ticket.maintenance);
    fields.finish();
    const std::size_t count = objectCount(ticket);
    if (count > ticketObjectLimit)
        fields.report("",
                      "the ticket changes " + std::to_string(count) + " objects, the limit is "
                              + std::to_string(ticketObjectLimit),
                      "split it into several tickets");
    if (count == 0 && parsed.problems.empty())
        fields.report("", "the ticket changes nothing", "add the objects to change");
    return parsed;
}

nlohmann::json ticketToJson(const Ticket &ticket)
{
    return {{"id", ticket.id},
            {"base", ticket.base},
            {"author", ticket.author},
            {"reason", ticket.reason},
            {"pools", internal::changesToJson(ticket.pools)},
            {"services", internal::changesToJson(ticket.services)},
            {"jobs", internal::changesToJson(ticket.jobs)},
            {"quotas", internal::changesToJson(ticket.quotas)},
            {"maintenance", internal::changesToJson(ticket.maintenance)}};
}

std::size_t objectCount(const Ticket &ticket)
{
    std::size_t count = 0;
    forEachKind(ticket,
                [&count](const auto &changes, std::string_view) { count += changes.size(); });
    return count;
}

} // namespace dragonflysill
