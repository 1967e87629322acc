#pragma once

#include "controlclient.h"
#include "exitcode.h"

#include <cstdint>
#include <iosfwd>
#include <string>

namespace dragonflysill {

enum class TimelineFormat { Text, Json, Chrome };

/** Runs the commands: asks a control process and prints its answer. */
class Commands
{
public:
    /**
     * @param client calls the control processes
     * @param json true to print JSON, also for errors
     * @param out where results go
     * @param err where errors go in text form
     */
    Commands(const ControlClient &client, bool json, std::ostream &out, std::ostream &err);

    /** Validates or applies the ticket in a file; "-" is the standard input. */
    ExitCode submitTicket(const std::string &path, bool apply);

    ExitCode showTicket(std::int64_t number);
    ExitCode showTicketById(const std::string &id);
    ExitCode showHistory(std::int64_t before, int limit);
    ExitCode explain(const std::string &kind, const std::string &name);

    /** Shows one of pools, instances, moves, maintenance and jobs. */
    ExitCode showList(const std::string &list);

    ExitCode showStatus();

    /** Shows one of a node's views: status, jobs, pools or maintenance. */
    ExitCode showNode(const std::string &view);

    /** Explains a job or an instance as the scheduling node sees it. */
    ExitCode explainOnNode(const std::string &kind, const std::string &name);

    /** Merges the timelines of all processes that the control processes know. */
    ExitCode showTimeline(TimelineFormat format);

private:
    using Render = std::string (*)(const nlohmann::json &);

    ExitCode print(const ControlAnswer &answer, Render render);
    ExitCode printError(const nlohmann::json &document);

    const ControlClient &m_client;
    const bool m_json;
    std::ostream &m_out;
    std::ostream &m_err;
};

} // namespace dragonflysill
