#pragma once

#include "controlclient.h"
#include "exitcode.h"

#include <cstdint>
#include <iosfwd>
#include <string>

namespace dragonflysill {

/** Output formats of the timeline. */
enum class TimelineFormat { Text, Json, Chrome };

/** Implements the commands: each queries a control process or a node and prints the answer. */
class Commands
{
public:
    /**
     * @param client calls the control processes
     * @param json prints results and errors as JSON if true
     * @param out receives the results, and the errors if @p json is set
     * @param err receives the errors in text form
     */
    Commands(const ControlClient &client, bool json, std::ostream &out, std::ostream &err);

    /** Validates or applies the ticket in a file; "-" reads the standard input. */
    ExitCode submitTicket(const std::string &path, bool apply);

    ExitCode showTicket(std::int64_t number);
    ExitCode showTicketById(const std::string &id);
    ExitCode showHistory(std::int64_t before, int limit);
    ExitCode explain(const std::string &kind, const std::string &name);

    /** Shows one of the lists pools, instances, moves, maintenance and jobs. */
    ExitCode showList(const std::string &list);

    ExitCode showStatus();

    /** Shows one of a node's views: status, jobs, pools or maintenance. */
    ExitCode showNode(const std::string &view);

    /** Explains a job or an instance as the scheduling node sees it. */
    ExitCode explainOnNode(const std::string &kind, const std::string &name);

    /** Explains what a submission would be answered and where it would go, without sending it. */
    ExitCode explainRoute(const std::string &host, const std::string &path,
                          const std::string &team);

    /** Shows the merged timeline of all control and entry processes. */
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
