#include "commands.h"
#include "controlclient.h"
#include "exitcode.h"

#include "dragonflysill/telemetry/settings.h"

#include <csignal>
#include <cstdint>
#include <functional>
#include <iostream>
#include <string>

namespace dragonflysill::internal {

namespace {

constexpr const char *footer = "Exit codes:\n"
                               "  0  done\n"
                               "  1  refused, in conflict or not found; nothing was changed\n"
                               "  2  the command line or the input file is unusable\n"
                               "  3  no control process or no store was reached; nothing was "
                               "changed\n"
                               "  4  unknown whether the ticket was accepted; apply it again\n"
                               "  5  an answer or the stored state is unusable";

/** The parsed options and the selected command. */
struct CommandLine
{
    std::string control = "127.0.0.1:20000";
    std::string nodes = "127.0.0.1:9464";
    bool queriesNodes = false; ///< True if the command belongs to the group "node".
    bool json = false;
    bool chrome = false;
    std::string file;
    std::string kind;
    std::string name;
    std::string path;
    std::string team;
    std::string id;
    std::int64_t number = 0;
    std::int64_t before = 0;
    int limit = 20;
    std::function<ExitCode(Commands &)> command; ///< Empty if no command was given.
};

CLI::App *addCommand(CLI::App &parent, CommandLine &line, const std::string &name,
                     const std::string &help, std::function<ExitCode(Commands &)> command)
{
    CLI::App *app = parent.add_subcommand(name, help);
    app->fallthrough();
    app->final_callback([&line, command] { line.command = command; });
    return app;
}

void addTicketCommands(CLI::App &app, CommandLine &line)
{
    CLI::App *ticket = app.add_subcommand("ticket", "Change tickets");
    ticket->fallthrough();
    ticket->require_subcommand(1);
    addCommand(*ticket, line, "validate", "Check whether a ticket would be accepted",
               [&line](Commands &commands) { return commands.submitTicket(line.file, false); })
            ->add_option("file", line.file, "File with the ticket; - for standard input")
            ->required();
    addCommand(*ticket, line, "apply", "Apply a ticket; safe to repeat",
               [&line](Commands &commands) { return commands.submitTicket(line.file, true); })
            ->add_option("file", line.file, "File with the ticket; - for standard input")
            ->required();
    CLI::App *show = addCommand(*ticket, line, "show", "Show the intended state that a ticket sets",
                                [&line](Commands &commands) {
                                    return line.id.empty() ? commands.showTicket(line.number)
                                                           : commands.showTicketById(line.id);
                                });
    auto *which = show->add_option_group("which");
    which->add_option("number", line.number, "Number of the ticket");
    which->add_option("--id", line.id, "Id of the ticket");
    which->require_option(1);
    CLI::App *history = addCommand(
            *ticket, line, "history", "List accepted tickets, newest first",
            [&line](Commands &commands) { return commands.showHistory(line.before, line.limit); });
    history->add_option("--before", line.before, "Only tickets with a lower number; 0 for newest");
    history->add_option("--limit", line.limit, "Number of tickets, 1 to 1000")
            ->check(CLI::Range(1, 1000))
            ->capture_default_str();
}

void addStateCommands(CLI::App &app, CommandLine &line)
{
    const std::pair<const char *, const char *> lists[]
            = {{"pools", "Show pools with their budgets"},
               {"instances", "Show instances with their phases"},
               {"moves", "Show instances that move between pools"},
               {"maintenance", "Show the progress of maintenance orders"},
               {"jobs", "Show jobs and their placement"}};
    for (const auto &it : lists) {
        const std::string list = it.first;
        addCommand(app, line, list, it.second,
                   [list](Commands &commands) { return commands.showList(list); });
    }
    addCommand(app, line, "status", "Show members, newest ticket, buffer, roll-out and moves",
               [](Commands &commands) { return commands.showStatus(); });
    CLI::App *explain = addCommand(
            app, line, "explain", "Explain the state of an instance, a pool or a job",
            [&line](Commands &commands) { return commands.explain(line.kind, line.name); });
    explain->add_option("kind", line.kind, "instance, pool or job")
            ->required()
            ->check(CLI::IsMember({"instance", "pool", "job"}));
    explain->add_option("name", line.name, "Name of the object")->required();
    CLI::App *timeline
            = addCommand(app, line, "timeline", "Merge the timelines of all processes",
                         [&line](Commands &commands) {
                             return commands.showTimeline(line.chrome ? TimelineFormat::Chrome
                                                                      : TimelineFormat::Text);
                         });
    timeline->add_flag("--chrome", line.chrome, "Print the Chrome trace-event format");
}

void addNodeCommands(CLI::App &app, CommandLine &line)
{
    CLI::App *node = app.add_subcommand("node", "Show the state of the nodes of a deployment");
    node->fallthrough();
    node->require_subcommand(1);
    node->parse_complete_callback([&line] { line.queriesNodes = true; });
    const std::pair<const char *, const char *> views[]
            = {{"status", "Show a node's state and which node schedules"},
               {"jobs", "Show the jobs that have not ended"},
               {"pools", "Show the load and the instances of each pool"},
               {"delegates", "Show which nodes call the workers for the node that schedules"},
               {"maintenance", "Show the progress of maintenance waves"}};
    for (const auto &it : views) {
        const std::string view = it.first;
        addCommand(*node, line, view, it.second,
                   [view](Commands &commands) { return commands.showNode(view); });
    }
    CLI::App *explain = addCommand(
            *node, line, "explain",
            "Explain where a job or an instance is and why, or where a submission would go",
            [&line](Commands &commands) {
                return line.kind == "route" ? commands.explainRoute(line.name, line.path, line.team)
                                            : commands.explainOnNode(line.kind, line.name);
            });
    explain->add_option("kind", line.kind, "job, instance or route")
            ->required()
            ->check(CLI::IsMember({"job", "instance", "route"}));
    explain->add_option("name", line.name,
                        "Id of the job, name of the instance or worker, or host of the route")
            ->required();
    explain->add_option("path", line.path, "Path of the submission, for a route");
    explain->add_option("--team", line.team, "Team whose key the submission would have");
}

int run(int argc, char **argv)
{
    CommandLine line;
    Settings settings("dragonflysill", "Command line for operators", DRAGONFLYSILL_VERSION);
    settings.add("control", line.control,
                 "Operators' addresses of control processes, tried in this order "
                 "(IP:PORT, separated by commas)")
            ->join(',');
    settings.add("nodes", line.nodes,
                 "Metrics addresses of nodes for the group \"node\", tried in this order until the "
                 "one that schedules has answered (IP:PORT, separated by commas)")
            ->join(',');
    settings.app().add_flag("--json", line.json, "Print JSON");
    settings.app().footer(footer);
    addTicketCommands(settings.app(), line);
    addStateCommands(settings.app(), line);
    addNodeCommands(settings.app(), line);
    if (const auto code = settings.parse(argc, argv))
        return *code;
    if (!line.command) {
        std::cerr << settings.app().help();
        return ExitUsage;
    }
    const auto endpoints
            = ControlClient::parseEndpoints(line.queriesNodes ? line.nodes : line.control);
    if (!endpoints) {
        std::cerr << endpoints.error().text() << "\n";
        return ExitUsage;
    }
    const ControlClient client(*endpoints);
    Commands commands(client, line.json, std::cout, std::cerr);
    return line.command(commands);
}

} // namespace

} // namespace dragonflysill::internal

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    return dragonflysill::internal::run(argc, argv);
}
