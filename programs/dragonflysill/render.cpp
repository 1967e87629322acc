#include "render.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <initializer_list>
#include <sstream>
#include <utility>

namespace dragonflysill {

namespace internal {

namespace {

using Rows = std::vector<std::vector<std::string>>;

constexpr double millisecondsPerSecond = 1000;

const nlohmann::json &fieldValue(const nlohmann::json &object, const char *field)
{
    static const nlohmann::json missing;
    if (!object.is_object())
        return missing;
    const auto it = object.find(field);
    return it == object.end() ? missing : *it;
}

std::string scalarText(const nlohmann::json &value)
{
    if (value.is_null())
        return {};
    if (value.is_string())
        return value.get<std::string>();
    if (!value.is_number_float())
        return value.dump();
    std::ostringstream text; // omits the trailing ".0" of JSON
    text << value.get<double>();
    return text.str();
}

std::string join(const nlohmann::json &array)
{
    std::string text;
    if (!array.is_array())
        return text;
    for (const auto &it : array)
        text += (text.empty() ? "" : ", ") + scalarText(it);
    return text;
}

std::int64_t integerField(const nlohmann::json &object, const char *field)
{
    const auto &value = fieldValue(object, field);
    return value.is_number() ? value.get<std::int64_t>() : 0;
}

std::string formatSeconds(std::int64_t ms)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f s",
                  static_cast<double>(ms) / millisecondsPerSecond);
    return text.data();
}

/**
 * Returns a table with one row for each element of the list.
 * @param columns heading and field of each column
 */
std::string listTable(const nlohmann::json &list,
                      std::initializer_list<std::pair<const char *, const char *>> columns)
{
    Rows rows(1);
    for (const auto &it : columns)
        rows[0].emplace_back(it.first);
    if (list.is_array()) {
        for (const auto &element : list) {
            std::vector<std::string> row;
            for (const auto &it : columns)
                row.push_back(fieldText(element, it.second));
            rows.push_back(std::move(row));
        }
    }
    return rows.size() == 1 ? "none\n" : renderTable(rows);
}

/** Returns a line with reason and remedy for each element that has a reason. */
std::string reasonLines(const nlohmann::json &list, const char *name)
{
    std::string text;
    if (!list.is_array())
        return text;
    for (const auto &it : list) {
        const std::string reason = fieldText(it, "reason");
        const std::string remedy = fieldText(it, "remedy");
        if (reason.empty())
            continue;
        text += fieldText(it, name) + ": " + reason + (remedy.empty() ? "" : "; " + remedy) + "\n";
    }
    return text;
}

std::string unreachableLine(const nlohmann::json &document)
{
    const std::string names = join(fieldValue(document, "unreachable"));
    if (names.empty())
        return {};
    return "not included, because unreachable: " + names + "\n";
}

std::string poolText(const nlohmann::json &pool)
{
    std::string text = "pool " + fieldText(pool, "name") + ": at most "
                       + fieldText(pool, "max_unavailable") + " unavailable"
                       + (fieldText(pool, "spare") == "true" ? ", spare" : "") + "\n";
    Rows rows;
    for (const auto &it : fieldValue(pool, "instances"))
        rows.push_back({"  " + fieldText(it, "name"), fieldText(it, "address"),
                        fieldText(it, "zone"), fieldText(it, "rack")});
    return text + renderTable(rows);
}

std::string serviceText(const nlohmann::json &service)
{
    std::string text
            = "service " + fieldText(service, "name") + ": pool " + fieldText(service, "pool")
              + ", mean " + fieldText(service, "mean_rate_per_s") + " per s, burst factor "
              + fieldText(service, "burst_factor") + ", " + fieldText(service, "slots_per_instance")
              + " slots and " + fieldText(service, "connections_per_instance")
              + " connections per instance\n";
    Rows rows;
    for (const auto &it : fieldValue(service, "routes"))
        rows.push_back({"  " + fieldText(it, "path_prefix"), fieldText(it, "deadline_ms") + " ms",
                        fieldText(it, "repeatable") == "true" ? "repeatable" : "at most once"});
    return text + renderTable(rows);
}

std::string jobText(const nlohmann::json &job)
{
    std::string text = "job " + fieldText(job, "name") + ": team " + fieldText(job, "team") + ", "
                       + fieldText(job, "tasks") + " tasks of " + fieldText(job, "cores")
                       + " cores, " + fieldText(job, "memory_mb") + " MB, "
                       + fieldText(job, "accelerators") + " accelerators, priority "
                       + fieldText(job, "priority");
    if (!fieldText(job, "pool").empty())
        text += ", pool " + fieldText(job, "pool");
    for (const char *flag : {"gang", "checkpointable", "cancelled"}) {
        if (fieldText(job, flag) == "true")
            text.append(", ").append(flag);
    }
    if (integerField(job, "expected_run_s") != 0)
        text += ", expected run " + fieldText(job, "expected_run_s") + " s";
    return text + "\n";
}

std::string quotaText(const nlohmann::json &quota)
{
    return "quota " + fieldText(quota, "team") + ": " + fieldText(quota, "cores") + " cores, "
           + fieldText(quota, "memory_mb") + " MB, " + fieldText(quota, "accelerators")
           + " accelerators\n";
}

std::string maintenanceText(const nlohmann::json &order)
{
    return "maintenance " + fieldText(order, "name") + ": " + fieldText(order, "action") + " "
           + join(fieldValue(order, "pools")) + ", " + fieldText(order, "state") + ", at most "
           + fieldText(order, "max_parallel") + " at once\n";
}

template <typename Formatter>
std::string objectsText(const nlohmann::json &list, const std::string &kind, Formatter format)
{
    std::string result;
    if (!list.is_array())
        return result;
    for (const auto &it : list) {
        const std::string name = fieldText(it, kind == "quota" ? "team" : "name");
        if (fieldText(it, "delete") == "true")
            result.append(kind).append(" ").append(name).append(": deleted\n");
        else
            result += format(it);
    }
    return result;
}

std::string bufferText(const nlohmann::json &buffer)
{
    if (!buffer.is_object())
        return "unknown: no control process reports the spare pool";
    return fieldText(buffer, "idle_instances") + " idle, " + fieldText(buffer, "required_instances")
           + " required; separate buffers would need " + fieldText(buffer, "baseline_instances");
}

} // namespace

} // namespace internal

using namespace internal;

std::string renderTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t n = 0; n < row.size(); ++n)
            widths[n] = std::max(widths[n], row[n].size());
    }
    std::string text;
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t n = 0; n < row.size(); ++n) {
            line += row[n];
            line.append(widths[n] - row[n].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

std::string renderTime(std::int64_t unixMs)
{
    if (unixMs <= 0)
        return "-";
    const auto time = static_cast<std::time_t>(unixMs / 1000);
    std::tm parts{};
    gmtime_r(&time, &parts);
    std::array<char, 32> text{};
    const std::size_t length
            = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text.data(), length};
}

std::string fieldText(const nlohmann::json &object, const char *field)
{
    const auto &value = fieldValue(object, field);
    return value.is_array() ? join(value) : scalarText(value);
}

std::string renderOutcome(const nlohmann::json &document)
{
    const auto &accepted = fieldValue(document, "accepted");
    const std::string name
            = "ticket " + fieldText(accepted, "number") + " (" + fieldText(accepted, "id") + ")";
    if (integerField(accepted, "revision") == 0)
        return "valid; would be accepted as " + name + "\n";
    if (fieldText(accepted, "repeated") == "true")
        return name + " was already accepted at "
               + renderTime(integerField(accepted, "accepted_ms")) + "\n";
    return name + " accepted at revision " + fieldText(accepted, "revision") + "\n";
}

std::string renderRollout(const nlohmann::json &rollout)
{
    if (!rollout.is_object())
        return "not measured by a reachable control process";
    const std::int64_t accepted = integerField(rollout, "accepted_ms");
    std::string text;
    if (fieldValue(rollout, "in_effect_ms").is_null())
        text = "waiting for members: " + join(fieldValue(rollout, "waiting_members"));
    else
        text = "in effect after " + formatSeconds(integerField(rollout, "in_effect_ms") - accepted);
    if (!fieldValue(rollout, "complete_ms").is_null())
        text += ", complete after "
                + formatSeconds(integerField(rollout, "complete_ms") - accepted);
    else if (!fieldValue(rollout, "waiting_instances").empty())
        text += ", waiting for instances: " + join(fieldValue(rollout, "waiting_instances"));
    return text;
}

std::string renderTicket(const nlohmann::json &document)
{
    const auto &ticket = fieldValue(document, "ticket");
    std::string text = "ticket " + fieldText(document, "number") + " (" + fieldText(ticket, "id")
                       + "), accepted " + renderTime(integerField(document, "accepted_ms")) + " by "
                       + fieldText(document, "accepted_by") + " at revision "
                       + fieldText(document, "revision") + "\n";
    text += renderTable({{"author", fieldText(ticket, "author")},
                         {"reason", fieldText(ticket, "reason")},
                         {"base", fieldText(ticket, "base")},
                         {"roll-out", renderRollout(fieldValue(document, "rollout"))}});
    text += objectsText(fieldValue(ticket, "pools"), "pool", poolText);
    text += objectsText(fieldValue(ticket, "services"), "service", serviceText);
    text += objectsText(fieldValue(ticket, "jobs"), "job", jobText);
    text += objectsText(fieldValue(ticket, "quotas"), "quota", quotaText);
    text += objectsText(fieldValue(ticket, "maintenance"), "maintenance", maintenanceText);
    return text;
}

std::string renderHistory(const nlohmann::json &document)
{
    Rows rows{{"NUMBER", "ACCEPTED", "ID", "AUTHOR", "BASE", "REASON"}};
    for (const auto &it : fieldValue(document, "tickets")) {
        const auto &ticket = fieldValue(it, "ticket");
        rows.push_back({fieldText(it, "number"), renderTime(integerField(it, "accepted_ms")),
                        fieldText(ticket, "id"), fieldText(ticket, "author"),
                        fieldText(ticket, "base"), fieldText(ticket, "reason")});
    }
    return rows.size() == 1 ? "no tickets\n" : renderTable(rows);
}

std::string renderPools(const nlohmann::json &document)
{
    Rows rows{{"POOL", "TICKET", "DECLARED", "SERVING", "LEAVING", "WARMING", "MAINTENANCE",
               "FAILED", "UNAVAILABLE", "SERVICES"}};
    for (const auto &it : fieldValue(document, "pools")) {
        const auto &phases = fieldValue(it, "phases");
        rows.push_back(
                {fieldText(it, "name") + (fieldText(it, "spare") == "true" ? " (spare)" : ""),
                 fieldText(it, "ticket"), fieldText(it, "declared"), fieldText(phases, "serving"),
                 fieldText(phases, "leaving"), fieldText(phases, "warming"),
                 fieldText(phases, "maintenance"), fieldText(phases, "failed"),
                 fieldText(it, "unavailable") + " of " + fieldText(it, "max_unavailable"),
                 fieldText(it, "services")});
    }
    return rows.size() == 1 ? "none\n" : renderTable(rows);
}

std::string renderInstances(const nlohmann::json &document)
{
    return listTable(fieldValue(document, "instances"), {{"INSTANCE", "name"},
                                                         {"POOL", "pool"},
                                                         {"PHASE", "phase"},
                                                         {"EPOCH", "epoch"},
                                                         {"DECLARED", "declared_pool"},
                                                         {"TICKET", "ticket"},
                                                         {"ZONE", "zone"},
                                                         {"RACK", "rack"},
                                                         {"ADDRESS", "address"}});
}

std::string renderMoves(const nlohmann::json &document)
{
    const auto &moves = fieldValue(document, "moves");
    return listTable(moves, {{"INSTANCE", "instance"},
                             {"FROM", "from_pool"},
                             {"TO", "to_pool"},
                             {"PHASE", "phase"},
                             {"TICKET", "ticket"},
                             {"WAITING FOR", "waiting_for"}})
           + reasonLines(moves, "instance") + unreachableLine(document);
}

std::string renderMaintenance(const nlohmann::json &document)
{
    const auto &waves = fieldValue(document, "maintenance");
    return listTable(waves, {{"ORDER", "name"},
                             {"TICKET", "ticket"},
                             {"STATE", "state"},
                             {"DONE", "done"},
                             {"TOTAL", "total"},
                             {"ACTIVE", "active"}})
           + reasonLines(waves, "name") + unreachableLine(document);
}

std::string renderJobs(const nlohmann::json &document)
{
    const auto &jobs = fieldValue(document, "jobs");
    return listTable(jobs, {{"JOB", "name"},
                            {"TEAM", "team"},
                            {"TICKET", "ticket"},
                            {"STATE", "state"},
                            {"TASKS", "tasks"},
                            {"PLACED", "placed"},
                            {"ENDED", "finished"}})
           + reasonLines(jobs, "name") + unreachableLine(document);
}

std::string renderStatus(const nlohmann::json &document)
{
    const auto &ticket = fieldValue(document, "ticket");
    const auto &moves = fieldValue(document, "moves");
    std::string text = renderTable(
            {{"ticket", fieldText(ticket, "number") + " (" + fieldText(ticket, "id") + ")"},
             {"revision", fieldText(document, "revision")},
             {"roll-out", renderRollout(fieldValue(document, "rollout"))},
             {"moves",
              fieldText(moves, "open") + " open, " + fieldText(moves, "finished") + " finished"},
             {"buffer", bufferText(fieldValue(document, "buffer"))}});
    text += "\ncontrol processes\n"
            + listTable(fieldValue(document, "members"), {{"NAME", "name"},
                                                          {"REGION", "region"},
                                                          {"ZONE", "zone"},
                                                          {"ALIVE", "alive"},
                                                          {"REVISION", "applied_revision"},
                                                          {"TICKET", "ticket"},
                                                          {"ADDRESS", "operator_address"}});
    text += "\nentry processes\n"
            + listTable(fieldValue(document, "entries"), {{"NAME", "name"},
                                                          {"ZONE", "zone"},
                                                          {"READY", "ready"},
                                                          {"ADDRESS", "entry_address"},
                                                          {"ADMIN", "admin_address"}});
    return text + unreachableLine(document);
}

std::string renderExplanation(const nlohmann::json &document)
{
    std::string text = fieldText(document, "kind") + " " + fieldText(document, "name") + ": "
                       + fieldText(document, "why") + "\n";
    const auto &move = fieldValue(document, "move");
    if (!fieldText(move, "reason").empty())
        text += "waits: " + fieldText(move, "reason") + "\n";
    for (const auto &it : fieldValue(document, "not_acknowledged"))
        text += "not acknowledged by " + fieldText(it, "entry") + ": " + fieldText(it, "reason")
                + "; " + fieldText(it, "remedy") + "\n";
    text += reasonLines(fieldValue(document, "moves"), "instance");
    for (const auto &it : fieldValue(document, "maintenance"))
        text += "maintenance order " + fieldText(it, "name") + " of ticket "
                + fieldText(it, "ticket") + " is " + fieldText(it, "state") + "\n";
    const auto &quota = fieldValue(document, "quota");
    if (quota.is_object())
        text += "quota of team " + fieldText(quota, "team") + " (ticket "
                + fieldText(quota, "ticket") + "): " + fieldText(quota, "used_cores") + " of "
                + fieldText(quota, "cores") + " cores, " + fieldText(quota, "used_memory_mb")
                + " of " + fieldText(quota, "memory_mb") + " MB, "
                + fieldText(quota, "used_accelerators") + " of " + fieldText(quota, "accelerators")
                + " accelerators in use\n";
    if (!fieldText(document, "remedy").empty())
        text += "remedy: " + fieldText(document, "remedy") + "\n";
    return text + unreachableLine(document);
}

std::string renderDocument(const nlohmann::json &document)
{
    std::string scalars;
    std::string tables;
    for (const auto &[name, value] : document.items()) {
        if (!value.is_array()) {
            scalars += name + ": " + scalarText(value) + "\n";
            continue;
        }
        Rows rows;
        for (const auto &row : value) {
            if (rows.empty()) {
                auto &heading = rows.emplace_back();
                for (const auto &[column, cell] : row.items())
                    heading.push_back(column);
            }
            auto &cells = rows.emplace_back();
            for (const auto &[column, cell] : row.items())
                cells.push_back(scalarText(cell));
        }
        tables += name + (rows.empty() ? ": none\n" : ":\n" + renderTable(rows));
    }
    return scalars + tables;
}

std::string renderError(const nlohmann::json &document)
{
    const auto &error = fieldValue(document, "error");
    std::string text = fieldText(error, "kind") + ": " + fieldText(error, "message") + "\n";
    for (const auto &it : fieldValue(error, "problems")) {
        const std::string pointer = fieldText(it, "pointer");
        text += "  " + (pointer.empty() ? "ticket" : pointer) + ": " + fieldText(it, "message")
                + "; " + fieldText(it, "remedy") + "\n";
    }
    const auto &later = fieldValue(error, "later_answer");
    if (later.is_object())
        text += "  a later answer was " + fieldText(later, "kind") + ": "
                + fieldText(later, "message") + "\n";
    return text;
}

} // namespace dragonflysill
