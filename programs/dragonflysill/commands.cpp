#include "commands.h"

#include "dragonflysill/contracts/acceptance.h"
#include "dragonflysill/telemetry/timeline.h"
#include "render.h"

#include <fstream>
#include <future>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflysill {

namespace internal {

namespace {

constexpr std::size_t maxConcurrentFetches{16};

std::string formatJson(const nlohmann::json &json)
{
    constexpr int indent{2};
    return json.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

/**
 * Reads a file, at most one byte more than the ticket size limit, so that reading endless input
 * stops. Returns std::nullopt if the file cannot be read.
 */
std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file;
    if (path != "-")
        file.open(path, std::ios::binary);
    std::istream &input = path == "-" ? std::cin : file;
    if (!input)
        return std::nullopt;
    std::string text(ticketSizeLimitBytes + 1, '\0');
    input.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (input.bad())
        return std::nullopt;
    text.resize(static_cast<std::size_t>(input.gcount()));
    return text;
}

/** Percent-encodes a name for use in a path (RFC 3986). */
std::string percentEncode(const std::string &name)
{
    constexpr std::string_view unreserved
            = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned int hexBase{16};
    std::string text;
    for (const char ch : name) {
        if (unreserved.find(ch) != std::string_view::npos) {
            text += ch;
            continue;
        }
        const auto value = static_cast<unsigned char>(ch);
        text += '%';
        text += digits[value / hexBase];
        text += digits[value % hexBase];
    }
    return text;
}

/** Address and path of a document to fetch. */
using Source = std::pair<std::string, std::string>;

/**
 * Fetches documents from several processes, at most maxConcurrentFetches at a time. The document is
 * std::nullopt if its process does not answer with a 200.
 */
std::map<Source, std::optional<std::string>> fetchAll(const ControlClient &client,
                                                      const std::set<Source> &sources)
{
    std::map<Source, std::optional<std::string>> answers;
    std::vector<std::pair<Source, std::future<std::optional<std::string>>>> pending;
    const auto collect = [&] {
        for (auto &it : pending)
            answers.emplace(it.first, it.second.get());
        pending.clear();
    };
    for (const auto &it : sources) {
        pending.emplace_back(it, std::async(std::launch::async, [&client, it] {
                                 return client.fetch(it.first, it.second);
                             }));
        if (pending.size() == maxConcurrentFetches)
            collect();
    }
    collect();
    return answers;
}

/** Calls @p function with each member and each entry of a status document. */
template <typename Function>
void forEachProcess(nlohmann::json &status, Function function)
{
    for (const char *list : {"members", "entries"}) {
        if (!status.contains(list) || !status[list].is_array())
            continue;
        for (auto &it : status[list]) {
            if (it.is_object())
                function(it, std::string_view(list));
        }
    }
}

/** Sets "ready" of each entry to true or false, or to null if the entry does not answer. */
void addReadiness(const ControlClient &client, nlohmann::json &status)
{
    std::set<Source> sources;
    forEachProcess(status, [&](nlohmann::json &process, std::string_view list) {
        if (list == "entries")
            sources.emplace(fieldText(process, "admin_address"), "/readyz");
    });
    std::set<Source> healthSources;
    for (const auto &it : sources)
        healthSources.emplace(it.first, "/healthz");
    const auto ready = fetchAll(client, sources);
    const auto alive = fetchAll(client, healthSources);
    forEachProcess(status, [&](nlohmann::json &process, std::string_view list) {
        if (list != "entries")
            return;
        const std::string address = fieldText(process, "admin_address");
        process["ready"] = nullptr;
        if (alive.at({address, "/healthz"}))
            process["ready"] = ready.at({address, "/readyz"}).has_value();
    });
}

std::set<Source> timelineSources(nlohmann::json &status)
{
    std::set<Source> sources;
    forEachProcess(status, [&](nlohmann::json &process, std::string_view list) {
        if (list == "members")
            sources.emplace(fieldText(process, "operator_address"), "/v1/timeline");
        sources.emplace(fieldText(process, "admin_address"), "/timeline");
    });
    return sources;
}

} // namespace

} // namespace internal

using namespace internal;

Commands::Commands(const ControlClient &client, bool json, std::ostream &out, std::ostream &err)
    : m_client(client)
    , m_json(json)
    , m_out(out)
    , m_err(err)
{
}

ExitCode Commands::submitTicket(const std::string &path, bool apply)
{
    const auto text = readFile(path);
    if (!text) {
        printError(errorDocument(Error(ErrorKind::InvalidInput, "cannot read " + path)));
        return ExitUsage;
    }
    if (text->size() > ticketSizeLimitBytes)
        return printError(errorDocument(parseTicket(*text).error()));
    return print(apply ? m_client.apply(*text) : m_client.validate(*text), renderOutcome);
}

ExitCode Commands::showTicket(std::int64_t number)
{
    return print(m_client.get("/v1/tickets/" + std::to_string(number)), renderTicket);
}

ExitCode Commands::showTicketById(const std::string &id)
{
    return print(m_client.get("/v1/ticket-ids/" + percentEncode(id)), renderTicket);
}

ExitCode Commands::showHistory(std::int64_t before, int limit)
{
    return print(m_client.get("/v1/tickets?before=" + std::to_string(before)
                              + "&limit=" + std::to_string(limit)),
                 renderHistory);
}

ExitCode Commands::explain(const std::string &kind, const std::string &name)
{
    return print(m_client.get("/v1/explain/" + kind + "/" + percentEncode(name)),
                 renderExplanation);
}

ExitCode Commands::showList(const std::string &list)
{
    static const std::map<std::string, Render> renders{{"pools", renderPools},
                                                       {"instances", renderInstances},
                                                       {"moves", renderMoves},
                                                       {"maintenance", renderMaintenance},
                                                       {"jobs", renderJobs}};
    return print(m_client.get("/v1/" + list), renders.at(list));
}

ExitCode Commands::showNode(const std::string &view)
{
    return print(m_client.get("/v1/" + view), renderDocument);
}

ExitCode Commands::explainOnNode(const std::string &kind, const std::string &name)
{
    return print(m_client.get("/v1/explain/" + kind + "/" + percentEncode(name)), renderDocument);
}

ExitCode Commands::explainRoute(const std::string &host, const std::string &path,
                                const std::string &team)
{
    return print(m_client.get("/v1/explain/route/" + percentEncode(host)
                              + "?path=" + percentEncode(path) + "&team=" + percentEncode(team)),
                 renderDocument);
}

ExitCode Commands::showStatus()
{
    ControlAnswer answer = m_client.get("/v1/status");
    if (answer.errorKind().empty())
        addReadiness(m_client, answer.document);
    return print(answer, renderStatus);
}

ExitCode Commands::showTimeline(TimelineFormat format)
{
    ControlAnswer status = m_client.get("/v1/status");
    if (!status.errorKind().empty())
        return printError(status.document);
    std::vector<Event> events;
    for (const auto &it : fetchAll(m_client, timelineSources(status.document))) {
        const auto part = it.second ? eventsFromJson(*it.second)
                                    : Result<std::vector<Event>>(Error(ErrorKind::Unreachable));
        if (part)
            events.insert(events.end(), part->begin(), part->end());
        else
            m_err << "not included: http://" << it.first.first << it.first.second << ": "
                  << part.error().text() << "\n";
    }
    events = mergeEvents(std::move(events));
    if (format == TimelineFormat::Chrome)
        m_out << eventsToChromeTrace(events) << "\n";
    else if (format == TimelineFormat::Json || m_json)
        m_out << eventsToJson(events) << "\n";
    else
        m_out << eventsToText(events);
    return ExitOk;
}

ExitCode Commands::print(const ControlAnswer &answer, Render render)
{
    if (!answer.errorKind().empty())
        return printError(answer.document);
    m_out << (m_json ? formatJson(answer.document) + "\n" : render(answer.document));
    return ExitOk;
}

ExitCode Commands::printError(const nlohmann::json &document)
{
    if (m_json)
        m_out << formatJson(document) << "\n";
    else
        m_err << renderError(document);
    return exitCodeOf(ControlAnswer{document}.errorKind());
}

} // namespace dragonflysill
