#pragma once

#include "executor.h"

#include "dragonflysill/jobs/json.h"
#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/net/httpserver.h"
#include "kvstandin.h"

#include <boost/asio/posix/stream_descriptor.hpp>

#include <sys/types.h>

#include <array>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

using dragonflysill::dump;
using dragonflysill::Duration;
using dragonflysill::EventLoop;
using dragonflysill::HttpRequest;
using dragonflysill::HttpResponse;
using dragonflysill::HttpServer;
using dragonflysill::Json;
using dragonflysill::Result;
using dragonflysill::TimePoint;

/** Properties of a simulated platform. */
struct PlatformSettings
{
    std::string program; ///< Path of this program, which also runs the executors.
    std::string folder; ///< Folder of the nodes' settings files.
    std::string record; ///< File that receives what was sent, answered and run.
    std::string network; ///< First three numbers of the loopback addresses, "127.1.2".
    bool trouble = true;
};

/** A run of a work item on an executor, as the executor told it. */
struct RunRecord
{
    std::string executor;
    int attempt = 0;
    TimePoint startedAt{};
    TimePoint endedAt{};
    std::string how; ///< Empty while it runs.
    bool acknowledged = false;
};

/** Simulates the platform's store, its machine service, its executors and the callers. */
class Platform
{
public:
    struct Machine
    {
        std::string name;
        std::string pool;
        std::string state = "up";
        ExecutorSettings executor;
        pid_t process = 0;
        std::int64_t fence = 0;
        int port = 0; ///< Last number of its loopback address.
    };

    explicit Platform(const PlatformSettings &settings);
    ~Platform();
    Platform(const Platform &) = delete;
    Platform &operator=(const Platform &) = delete;

    /** Opens the ports and writes the configuration and the settings of @p nodes nodes. */
    bool start(int nodes);

    /** Runs until the end of the scenario; returns the exit code of the script. */
    int run();

    /** Ends the scenario with an exit code. */
    void finish(int code);

    EventLoop &loop() { return m_loop; }
    [[nodiscard]] bool trouble() const { return m_settings.trouble; }
    dragonflysill::platform::KvStandin &store() { return m_store; }

    /** Appends a line with the time since the start to the record. */
    void note(const std::string &text);

    /** Adds a machine to a pool and starts its executor. */
    Machine &addMachine(const std::string &name, const std::string &pool, const std::string &rack,
                        int cores);
    Machine &machine(const std::string &name) { return m_machines.at(name); }
    Machine *machineOfExecutor(const std::string &id);
    std::map<std::string, Machine> &machines() { return m_machines; }

    /** Starts the executor of a machine; @p id is new unless the executor keeps its id. */
    void startExecutor(Machine &machine, const std::string &id);
    void signalExecutor(Machine &machine, int signal);

    /** Called with each event of an executor, after it has been recorded. */
    std::function<void(const std::string &executor, const std::string &event,
                       const std::vector<std::string> &words)>
            onEvent;

    /** Writes a wave of upkeep. */
    void requestWave(int number, const std::vector<std::string> &machines, int durationS,
                     int ceiling);
    /** Machines whose upkeep in a wave has begun. */
    std::map<int, std::set<std::string>> upkeepBegun;

    /** Reads a key as the operator would; empty if it is missing. */
    void readKey(const std::string &key, std::function<void(const std::string &value)> callback);

    /** Calls a node as a caller of the queue; status 0 if there was no answer. */
    void request(int node, const std::string &method, const std::string &id,
                 const std::string &body, std::function<void(const HttpResponse &)> callback);
    /** Submits a job, with further attempts at other nodes, until it is accepted. */
    void submit(const std::string &id, const std::string &body, std::function<void()> accepted);
    [[nodiscard]] int nodes() const { return m_nodes; }
    /** Sends a signal to the process of a node, which is started again if it ends. */
    void signalNode(int node, int signal);
    /** Waits until all nodes are ready. */
    void whenReady(std::function<void()> action);

    std::map<std::string, std::vector<RunRecord>> runs; ///< By work item.

private:
    void handleMachines(const HttpRequest &request, const HttpServer::Respond &respond);
    void handleUpkeep(const Json &order, const HttpRequest &request,
                      const HttpServer::Respond &respond);
    void writeSettings(int node);
    void writeConfiguration();
    void readEvents(const std::string &machine,
                    const std::shared_ptr<boost::asio::posix::stream_descriptor> &output);
    void handleEvent(const std::string &line);
    [[nodiscard]] std::string address(int host, int port) const;

    PlatformSettings m_settings;
    EventLoop m_loop;
    dragonflysill::HttpClient m_client;
    dragonflysill::platform::KvStandin m_store;
    HttpServer m_machineServer;
    std::ofstream m_record;
    TimePoint m_startedAt = EventLoop::now();
    std::map<std::string, Machine> m_machines;
    std::map<std::string, int> m_inputs; ///< Standard inputs of the executors, by executor.
    std::map<int, Json> m_waves;
    std::map<std::string, std::string> m_partialLines;
    int m_nodes = 0;
    int m_lastExecutor = 0;
    int m_lastHost = 100;
    int m_exitCode = 2;
};

/** Runs the scenario with this name; returns false if there is none. */
bool beginScenario(const std::string &name, Platform &platform);

} // namespace review
