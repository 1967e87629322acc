// Runs a review case: simulates the platform, the callers and the admission service for three nodes
// that run.sh starts, applies the disruption of the case and checks the rule that it is about.
// Usage: review-fleet CASE FOLDER HOST; TROUBLE=0 in the environment leaves the disruption out.

#include "dragonflysill/jobs/jobcodec.h"
#include "dragonflysill/jobs/json.h"
#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/net/httpserver.h"
#include "dragonflysill/node/nodekeys.h"
#include "fleetstandin.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <netinet/in.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr int nodeCount = 3;
constexpr int platformPort = 20000;
constexpr int proxyPort = 21000;
constexpr int admissionPort = 22000;
constexpr int frontPort = 8624;
constexpr int readyPort = 8622;
constexpr int metricsPort = 9464;
/** Bounds of the users' pages. */
constexpr std::chrono::milliseconds cancelBound = 3000ms;
constexpr std::chrono::milliseconds finishTime = 14s;
constexpr std::chrono::milliseconds waitingBound = 3000ms;
/** Maximum number of calls that wait for the admission service, from the users' pages. */
constexpr std::size_t maxWaitingCalls = 32;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

/** The admission policy of a queue. */
struct Admission
{
    Milliseconds decide{0};
    Milliseconds period{0};
    Milliseconds valid{3000};
};

class Case
{
public:
    Case(std::string name, std::string folder, std::string host, bool trouble)
        : m_name(std::move(name))
        , m_folder(std::move(folder))
        , m_host(std::move(host))
        , m_trouble(trouble)
        , m_client(m_loop)
        , m_record(m_folder + "/record.txt")
    {
        platform::FleetShape shape;
        shape.host = m_host;
        shape.firstPort = platformPort;
        shape.pools = {"routing", "intake"};
        shape.workersPerPool = 8;
        if (m_name == "late-start") {
            // Crashed workers start again under their ids, and requests wait for them meanwhile.
            shape.workersPerPool = 24;
            shape.sameIdShare = 1;
            shape.openPortShare = 1;
        }
        if (m_name == "many-items") {
            // More workers than an owner calls by itself (64).
            shape.pools = {"routing"};
            shape.workersPerPool = 72;
        }
        shape.longTaskEvery = m_name == "late-submission" ? 1 : 0;
        shape.reach = [this](const std::string &client, const std::string &address) {
            return client.empty() && m_name != "many-items" && m_name != "late-start"
                           ? proxyOf(address)
                           : address;
        };
        m_fleet = std::make_unique<platform::FleetStandin>(m_loop, shape);
    }

    int run()
    {
        if (!m_fleet->start())
            return notRun;
        if (m_name.starts_with("admission")) {
            m_admission = std::make_unique<HttpServer>(
                    m_loop, [this](const HttpRequest &request, const HttpServer::Respond &respond) {
                        askAdmission(request, respond);
                    });
            if (!m_admission->listen(m_host + ':' + std::to_string(admissionPort)))
                return notRun;
            configure(2, true, 3000);
        }
        if (m_name == "long-history")
            beginLongHistory();
        for (int n = 1; n <= nodeCount; ++n)
            writeSettings(n);
        m_loop.after(60s, [this] {
            if (!m_begun && m_name != "long-history")
                end(notRun, "the nodes did not become ready");
        });
        m_loop.after(110s, [this] { end(notRun, "the case took too long"); });
        if (m_name != "long-history")
            awaitNodes(1);
        m_loop.run();
        return m_result;
    }

private:
    void note(const std::string &text)
    {
        const auto ms = (EventLoop::now() - m_startedAt) / 1ms;
        m_record << ms << " ms: " << text << std::endl;
    }

    void end(int result, const std::string &reason)
    {
        if (m_result < 0) {
            m_result = result;
            note("result " + std::to_string(result) + ": " + reason);
        }
        m_loop.stop();
    }

    // The nodes.

    [[nodiscard]] std::string nodeIp(int n) const
    {
        return m_host.substr(0, m_host.rfind('.') + 1) + std::to_string(10 + n);
    }
    [[nodiscard]] std::string nodeAddress(int n, int port) const
    {
        return nodeIp(n) + ':' + std::to_string(port);
    }

    void writeSettings(int n)
    {
        const auto name = "node-" + std::to_string(n);
        auto json = Json::parse(m_fleet->settingsFor(name, nodeAddress(n, frontPort),
                                                     nodeAddress(n, readyPort), 7060));
        json["ip"] = nodeIp(n);
        json["portRange"] = {7060, 7075};
        json["limits"] = {{"cpuShare", 0.25}, {"cores", 1},         {"memoryMb", 260},
                          {"maxFds", 4100},   {"linkMbps", 1000.0}, {"diskMb", 0}};
        json["bounds"]["graceS"] = 6;
        json["bounds"]["cancel_ms"] = cancelBound.count();
        json["bounds"]["status_s"] = m_name == "removal-rate" ? 1 : 120;
        json["platform"]["writesPerS"] = 400;
        json["platform"]["readsPerS"] = 2000;
        if (m_admission)
            json["advice"] = m_host + ':' + std::to_string(admissionPort);
        const auto path = m_folder + '/' + name + ".json";
        std::ofstream(path + ".part") << json.dump(2);
        std::filesystem::rename(path + ".part", path);
    }

    [[nodiscard]] pid_t pidOf(int n) const
    {
        pid_t pid = 0;
        std::ifstream(m_folder + "/node-" + std::to_string(n) + ".pid") >> pid;
        return pid;
    }

    /** Waits until node N and those after it are ready, then for an owner. */
    void awaitNodes(int n)
    {
        if (n > nodeCount) {
            findOwner(1);
            return;
        }
        m_client.call(nodeAddress(n, readyPort), {"GET", "/v1/readyz", {}, {}}, 1s,
                      [this, n](const Result<HttpResponse> &response) {
                          const bool ready = response && response->status == 200 && pidOf(n) > 0;
                          m_loop.after(ready ? 0ms : 100ms,
                                       [this, n, ready] { awaitNodes(ready ? n + 1 : n); });
                      });
    }

    void findOwner(int n)
    {
        m_client.call(nodeAddress(n, metricsPort), {"GET", "/v1/status", {}, {}}, 1s,
                      [this, n](const Result<HttpResponse> &response) {
                          const auto json
                                  = response ? Json::parse(response->body, nullptr, false) : Json();
                          if (json.is_object() && json.value("owns_schedule", false)) {
                              m_owner = n;
                              // The workers have been asked for their runs by then.
                              m_loop.after(3s, [this] { begin(); });
                              return;
                          }
                          m_loop.after(100ms, [this, n] { findOwner(n % nodeCount + 1); });
                      });
    }

    void begin()
    {
        m_begun = true;
        m_startedAt = EventLoop::now();
        note(m_name + (m_trouble ? "" : " without the disruption") + "; node-"
             + std::to_string(m_owner) + " owns the schedule");
        if (m_name == "late-submission")
            beginLateSubmission();
        else if (m_name == "admission-burst")
            beginAdmissionBurst();
        else if (m_name == "removal-rate")
            beginRemovalRate();
        else if (m_name == "late-start")
            beginLateStart();
        else if (m_name == "many-items")
            beginManyItems();
        else
            beginAdmissionRoute();
    }

    // Workers, behind a proxy that records the orders and checks tickets.

    struct Proxy
    {
        std::unique_ptr<HttpServer> server;
        std::string address;
    };

    std::string proxyOf(const std::string &worker)
    {
        auto &proxy = m_proxies[worker];
        if (!proxy.server) {
            proxy.address
                    = m_host + ':' + std::to_string(proxyPort + static_cast<int>(m_proxies.size()));
            proxy.server = std::make_unique<HttpServer>(
                    m_loop,
                    [this, worker](const HttpRequest &request, const HttpServer::Respond &respond) {
                        forward(worker, request, respond);
                    });
            if (!proxy.server->listen(proxy.address))
                std::cerr << proxy.address << " is in use\n";
        }
        return proxy.address;
    }

    void forward(const std::string &worker, const HttpRequest &request,
                 const HttpServer::Respond &respond)
    {
        const auto json = Json::parse(request.body, nullptr, false);
        const bool start = request.target == "/v1/run-start";
        const std::string task = json.is_object() ? json.value("task", std::string()) : "";
        const std::string instance(request.header("Dragonflysill-Expect-Instance"));
        if (start && needsTicket(task) && !ticketValid(task, instance, json.value("ticket", ""))) {
            if (++m_refusedStarts[task] <= 2)
                note("start of " + task + " on " + instance + " rejected: no valid ticket");
            const auto clock = m_clocks[worker] + (EventLoop::now() - m_clockReadAt[worker]) / 1ms;
            respond({409, dump(Json{{"clockMs", clock}, {"reason", "ticket"}}), {}});
            return;
        }
        m_client.call(worker,
                      {request.method,
                       request.target,
                       request.body,
                       {{"Dragonflysill-Expect-Instance", instance}}},
                      5s,
                      [this, worker, start, task, instance,
                       respond](const Result<HttpResponse> &response) {
                          if (!response)
                              return;
                          const auto json = Json::parse(response->body, nullptr, false);
                          if (json.is_object() && json.contains("clockMs")) {
                              m_clocks[worker] = json["clockMs"];
                              m_clockReadAt[worker] = EventLoop::now();
                          }
                          if (start && response->status == 200)
                              started(task, instance);
                          if (json.is_object() && json.contains("ended"))
                              ended(json["ended"]);
                          respond(*response);
                      });
    }

    void started(const std::string &task, const std::string &worker)
    {
        const auto job = task.substr(0, task.find('.'));
        m_running.insert(task);
        m_lastActive[job] = EventLoop::now();
        ++m_starts;
        if (m_name == "late-submission")
            note("work item " + task + " starts on " + worker);
        const auto cancelled = m_cancelledAt.find(job);
        if (cancelled == m_cancelledAt.end())
            return;
        const auto late = EventLoop::now() - cancelled->second;
        if (late > cancelBound) {
            note("UNASKED: " + task + " starts " + std::to_string(late / 1ms)
                 + " ms after the acknowledgement of the cancel");
            ++m_broken;
        }
    }

    void ended(const Json &rows)
    {
        for (const auto &it : rows) {
            const std::string task = it.at(1);
            if (m_running.erase(task) == 0)
                continue;
            m_lastActive[task.substr(0, task.find('.'))] = EventLoop::now();
            if (m_name == "late-submission")
                note("work item " + task + " ends: " + it.at(3).get<std::string>());
        }
    }

    // The callers.

    static std::string jobId(int n)
    {
        std::array<char, 17> id{};
        std::snprintf(id.data(), id.size(), "5c0e7a21%08x", static_cast<unsigned>(n));
        return id.data();
    }

    static std::string target(int n) { return "/routing/" + jobId(n); }

    static std::string body(int steps, int count)
    {
        Json json{{"spec", "(text)"}, {"steps", Json::array()}};
        for (int n = 0; n < steps; ++n) {
            Json step{{"count", count}, {"cpu", 1000}, {"memMb", 256}, {"estimateMs", 100}};
            if (n > 0)
                step["after"] = {n - 1};
            json["steps"].push_back(step);
        }
        return dump(json);
    }

    void call(const char *method, int node, int job, const std::string &text,
              HttpClient::Callback callback)
    {
        m_client.call(nodeAddress(node, frontPort),
                      {method, target(job), text, {{"Host", platform::FleetStandin::callerHost}}},
                      3s, std::move(callback));
    }

    static std::string outcome(const Result<HttpResponse> &response)
    {
        return response ? std::to_string(response->status)
                                  + (response->body.empty() ? "" : " " + response->body)
                        : "no answer";
    }

    /** Submits a job until it is accepted. */
    void submit(int job, int node, const std::string &text, std::function<void()> accepted)
    {
        call("POST", node, job, text,
             [=, this, accepted = std::move(accepted)](const Result<HttpResponse> &response) {
                 note("POST " + jobId(job) + " at node-" + std::to_string(node) + ": "
                      + outcome(response));
                 if (response && response->status == 200) {
                     m_lastActive.emplace(jobId(job), EventLoop::now());
                     accepted();
                     return;
                 }
                 m_loop.after(200ms,
                              [=, this] { submit(job, node % nodeCount + 1, text, accepted); });
             });
    }

    // Case late-submission: a node stands still while a caller submits jobs to it and gives up.

    void beginLateSubmission()
    {
        constexpr int jobs = 4;
        constexpr auto freezeTime = 2s; // The site file has up to 4 s.
        constexpr auto patience = 300ms; // Half of the objective of 600 ms, see give_up.
        m_frozen = m_owner % nodeCount + 1;
        m_other = m_frozen % nodeCount + 1;
        if (m_trouble) {
            note("node-" + std::to_string(m_frozen) + " freezes");
            ::kill(pidOf(m_frozen), SIGSTOP);
            m_loop.after(freezeTime, [this] {
                note("node-" + std::to_string(m_frozen) + " runs again");
                ::kill(pidOf(m_frozen), SIGCONT);
            });
        }
        m_loop.after(100ms, [this, patience] {
            for (int n = 0; n < jobs; ++n)
                m_sockets.push_back(sendSubmission(n));
            m_loop.after(patience, [this] {
                for (int n = 0; n < jobs; ++n)
                    giveUp(n);
            });
        });
        m_loop.after(16s, [this] { showAll(0, jobs); });
    }

    /** Sends the submission of a job on a connection of its own. */
    int sendSubmission(int job)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(frontPort);
        ::inet_pton(AF_INET, nodeIp(m_frozen).c_str(), &address.sin_addr);
        const auto content = body(3, 2);
        const auto request = "POST " + target(job)
                             + " HTTP/1.1\r\nHost: " + platform::FleetStandin::callerHost
                             + "\r\nContent-Type: application/json\r\nContent-Length: "
                             + std::to_string(content.size()) + "\r\n\r\n" + content;
        const bool sent
                = ::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0
                  && ::send(fd, request.data(), request.size(), 0)
                             == static_cast<ssize_t>(request.size());
        note("POST " + jobId(job) + " at node-" + std::to_string(m_frozen)
             + (sent ? " sent" : " not sent"));
        if (!sent)
            end(notRun, "a submission could not be sent");
        return fd;
    }

    void giveUp(int job)
    {
        const int fd = m_sockets.at(static_cast<std::size_t>(job));
        std::array<char, 512> buf{};
        const auto n = ::recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
        const std::string answer(buf.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
        note("POST " + jobId(job) + ": "
             + (answer.empty() ? "no answer; the caller gives up"
                               : answer.substr(0, answer.find('\r'))));
        ::close(fd);
        cancel(job, m_other);
    }

    void cancel(int job, int node)
    {
        call("DELETE", node, job, {}, [this, job, node](const Result<HttpResponse> &response) {
            note("DELETE " + jobId(job) + " at node-" + std::to_string(node) + ": "
                 + outcome(response));
            if (response && (response->status / 100 == 2 || response->status == 410))
                m_cancelledAt[jobId(job)] = EventLoop::now();
            else
                m_loop.after(100ms, [this, job] { cancel(job, m_other); });
        });
    }

    void showAll(int job, int jobs)
    {
        if (job == jobs) {
            end(m_broken > 0 ? broken : held,
                std::to_string(m_broken) + " starts long after an acknowledged cancel");
            return;
        }
        call("GET", m_other, job, {}, [this, job, jobs](const Result<HttpResponse> &response) {
            note("GET " + jobId(job) + " at node-" + std::to_string(m_other) + ": "
                 + outcome(response));
            showAll(job + 1, jobs);
        });
    }

    // The admission service: handles one call at a time, in turn.

    void configure(int version, bool withQueue, int timeoutMs)
    {
        Json routes = Json::array();
        const auto add = [&](const std::string &pool, bool admission) {
            routes.push_back({{"name", "queue-" + pool},
                              {"host", platform::FleetStandin::callerHost},
                              {"prefix", platform::FleetStandin::queuePrefix(pool)},
                              {"timeoutMs", timeoutMs},
                              {"targetRuntimeMs", 600},
                              {"priority", 0},
                              {"service", pool},
                              {"attempts", 3},
                              {"slackFactor", 2.0}});
            if (admission)
                routes.back()["advice"] = {{"decideMs", m_policy.decide.count()},
                                           {"periodMs", m_policy.period.count()},
                                           {"validMs", m_policy.valid.count()}};
        };
        if (withQueue)
            add("routing", true);
        add("intake", false);
        Json services = Json::array();
        for (const auto *pool : {"routing", "intake", "spare"})
            services.push_back({{"name", pool},
                                {"enforcesCapacity", true},
                                {"standby", std::string_view(pool) == "spare"}});
        m_fleet->store().put(
                "op/config",
                dump(Json{{"version", version}, {"routes", routes}, {"services", services}}));
    }

    void askAdmission(const HttpRequest &request, const HttpServer::Respond &respond)
    {
        if (m_calls.size() >= maxWaitingCalls) {
            ++m_refusedCalls;
            respond({429, {}, {}});
            return;
        }
        m_calls.push_back({request, respond});
        if (!m_deciding)
            decideNext();
    }

    void decideNext()
    {
        m_deciding = !m_calls.empty();
        if (!m_deciding)
            return;
        const auto [request, respond] = m_calls.front();
        m_calls.pop_front();
        const auto json = Json::parse(request.body, nullptr, false);
        const std::string step = json.at("step");
        const auto time
                = m_policy.decide + m_policy.period * static_cast<int>(json.at("workers").size());
        m_loop.after(time, [this, json, step, respond] {
            Json good = Json::array();
            for (const std::string worker : json.at("workers")) {
                const auto ticket = "t-" + std::to_string(++m_lastTicket);
                m_tickets[{step, worker}][ticket] = EventLoop::now() + m_policy.valid;
                good.push_back({worker, ticket});
            }
            ++m_decidedCalls;
            respond({200, dump(Json{{"good", good}, {"validMs", m_policy.valid.count()}}), {}});
            decideNext();
        });
    }

    [[nodiscard]] bool needsTicket(const std::string &) const { return m_admission != nullptr; }

    bool ticketValid(const std::string &task, const std::string &worker, const std::string &ticket)
    {
        const auto &known = m_tickets[{task.substr(0, task.rfind('.')), worker}];
        const auto it = known.find(ticket);
        return it != known.end() && EventLoop::now() < it->second;
    }

    // Case admission-burst: many jobs come at once on a queue with an admission policy.

    void beginAdmissionBurst()
    {
        constexpr int jobs = 80;
        const auto spacing = m_trouble ? 20ms : 250ms;
        note("jobs come every " + std::to_string(spacing / 1ms) + " ms");
        submitNext(0, jobs, spacing, body(1, 4));
    }

    void submitNext(int job, int jobs, Milliseconds spacing, const std::string &text)
    {
        if (job == jobs) {
            m_loop.after(finishTime, [this, jobs] { beginFinalCheck(jobs); });
            return;
        }
        submit(job, job % nodeCount + 1, text, [] {});
        m_loop.after(spacing, [=, this] { submitNext(job + 1, jobs, spacing, text); });
    }

    void beginFinalCheck(int jobs)
    {
        note("admission calls: " + std::to_string(m_decidedCalls) + " decided, "
             + std::to_string(m_refusedCalls) + " rejected with 429, "
             + std::to_string(m_calls.size()) + " waiting; starts: " + std::to_string(m_starts));
        m_checkedSince = EventLoop::now();
        // Waits a little longer than the bound, so that the answers to the last queries count.
        m_loop.after(waitingBound + 500ms, [this, jobs] { checkJob(0, jobs); });
    }

    /** Checks that a job has completed, or that something of it ran within the bound. */
    void checkJob(int job, int jobs)
    {
        if (job == jobs) {
            note("admission calls: " + std::to_string(m_decidedCalls) + " decided, "
                 + std::to_string(m_refusedCalls) + " rejected with 429");
            end(m_broken > 0 ? broken : held,
                std::to_string(m_broken)
                        + " accepted jobs have nothing running for 3 s, with most "
                          "of the service free");
            return;
        }
        call("GET", m_owner, job, {}, [this, job, jobs](const Result<HttpResponse> &response) {
            const bool completed
                    = response && response->body.find("completed") != std::string::npos;
            const auto idle = EventLoop::now() - std::max(m_lastActive[jobId(job)], m_checkedSince);
            const bool runs = std::ranges::any_of(m_running, [&](const std::string &task) {
                return task.starts_with(jobId(job));
            });
            if (!completed && !runs && idle >= waitingBound) {
                note("LOST: GET " + jobId(job) + ": " + outcome(response) + "; nothing running for "
                     + std::to_string(idle / 1ms) + " ms, " + std::to_string(m_running.size())
                     + " of 64 cores in use, starts rejected for want of a ticket "
                     + std::to_string(rejectedStartsOf(jobId(job))));
                ++m_broken;
            }
            checkJob(job + 1, jobs);
        });
    }

    [[nodiscard]] int rejectedStartsOf(const std::string &job) const
    {
        int count = 0;
        for (const auto &[task, n] : m_refusedStarts)
            count += task.starts_with(job) ? n : 0;
        return count;
    }

    // Case long-history: the store holds the jobs that ended in some hours of traffic.

    /** Memory that a process may use, from the settings of the site file. */
    static constexpr long memoryLimitKb = 260L * 1024;
    static constexpr int historyJobs = 6;

    void beginLongHistory()
    {
        // 19.0 jobs a second arrive on the sheet of Tubo Sul, and the owner removes at most 9 every
        // 2 s. The 150 s of the retention hold 2,850 jobs.
        constexpr double arrivalsPerS = 19.0;
        constexpr double removalsPerS = 4.5;
        const char *text = std::getenv("HOURS");
        const double hours = text == nullptr ? 6 : std::atof(text);
        const int jobs = m_trouble ? static_cast<int>(hours * 3600 * (arrivalsPerS - removalsPerS))
                                   : static_cast<int>(150 * arrivalsPerS);
        JobProgress progress;
        progress.state = JobStatus::Completed;
        progress.stepsDone = {{0, 0}, {0, 1}};
        SubmittedJob job;
        job.queue = "queue-routing";
        job.pool = "routing";
        job.policy.attempts = 4;
        job.acceptedMs = unixMilliseconds();
        job.spec.payload = std::string(100, 'x');
        job.spec.steps.resize(2);
        for (auto &it : job.spec.steps) {
            it.count = 6;
            it.need = {3500, 13000, 0};
            it.estimate = 800ms;
        }
        job.spec.steps[1].after = {0};
        const auto record = encodeJob(job);
        const auto ended = encodeProgress(progress);
        for (int n = 0; n < jobs; ++n) {
            std::array<char, 17> id{};
            std::snprintf(id.data(), id.size(), "%016llx",
                          static_cast<unsigned long long>(n) * 0x9e3779b97f4a7c15ULL);
            m_fleet->store().put(nodekeys::key(nodekeys::jobs, id.data()), record);
            m_fleet->store().put(nodekeys::key(nodekeys::progress, id.data()), ended);
        }
        note(std::to_string(jobs) + " ended jobs in the store, "
             + std::to_string(record.size() + ended.size()) + " bytes each");
        watchMemory();
        m_loop.after(5s, [this] {
            m_owner = 1;
            for (int n = 0; n < historyJobs; ++n)
                submit(n, n % nodeCount + 1, body(2, 2), [] {});
        });
        // The last submission is accepted within some seconds, and finishTime has passed by then.
        m_loop.after(75s, [this] {
            for (int n = 1; n <= nodeCount; ++n)
                note("node-" + std::to_string(n) + ": at most " + std::to_string(m_peakKb[n] / 1024)
                     + " MB, killed " + std::to_string(m_kills[n]) + " times");
            checkHistoryJob(0, 1, 0);
        });
    }

    /** Asks for an accepted job's state, one node after the other; it must have completed. */
    void checkHistoryJob(int job, int node, int attempts)
    {
        if (job == historyJobs) {
            end(m_broken > 0 ? broken : held,
                std::to_string(m_broken) + " accepted jobs have not run, with all workers free");
            return;
        }
        call("GET", node, job, {}, [=, this](const Result<HttpResponse> &response) {
            const bool answered = response && response->status == 200;
            if (!answered && attempts < 20) {
                m_loop.after(250ms, [=, this] {
                    checkHistoryJob(job, node % nodeCount + 1, attempts + 1);
                });
                return;
            }
            const auto it = m_lastActive.find(jobId(job));
            const bool accepted = it != m_lastActive.end();
            const bool completed
                    = response && response->body.find("completed") != std::string::npos;
            const auto idle = accepted ? EventLoop::now() - it->second : Duration{0};
            note("GET " + jobId(job) + " at node-" + std::to_string(node) + ": "
                 + outcome(response));
            if (accepted && !completed && idle > finishTime) {
                note("LOST: " + jobId(job) + " has had nothing running for "
                     + std::to_string(idle / 1ms) + " ms, " + std::to_string(m_running.size())
                     + " of 64 cores in use");
                ++m_broken;
            }
            checkHistoryJob(job + 1, node, 0);
        });
    }

    /** Kills processes that exceed their memory, as the platform does; run.sh starts them again. */
    void watchMemory()
    {
        for (int n = 1; n <= nodeCount; ++n) {
            const auto pid = pidOf(n);
            std::ifstream status("/proc/" + std::to_string(pid) + "/status");
            for (std::string word; pid > 0 && status >> word;) {
                long kb = 0;
                if (word != "VmRSS:" || !(status >> kb))
                    continue;
                m_peakKb[n] = std::max(m_peakKb[n], kb);
                if (kb <= memoryLimitKb || !m_killed.insert(pid).second)
                    break;
                ++m_kills[n];
                note("node-" + std::to_string(n) + ", process " + std::to_string(pid) + ", uses "
                     + std::to_string(kb / 1024) + " MB of 260 and is killed");
                ::kill(pid, SIGKILL);
                break;
            }
        }
        m_loop.after(50ms, [this] { watchMemory(); });
    }

    // Measurement removal-rate, no case: counts the stored jobs while the owner removes old ones.
    // Jobs are kept for 31 s here instead of 150 s, so that the removal is seen within the run.

    void beginRemovalRate()
    {
        submitAtRate(0);
        countStored({}, 0);
        m_loop.after(95s, [this] { end(held, "measured"); });
    }

    void submitAtRate(int job)
    {
        constexpr int jobs = 19 * 30;
        if (job == jobs)
            return;
        call("POST", job % nodeCount + 1, job, body(1, 1), [](const Result<HttpResponse> &) {});
        m_loop.after(52ms, [this, job] { submitAtRate(job + 1); });
    }

    void countStored(const std::string &after, std::size_t count)
    {
        std::string path = "/v1/kv-range?prefix=" + std::string(nodekeys::jobs);
        if (!after.empty())
            path += "&after=" + after;
        m_client.call(m_host + ':' + std::to_string(platformPort), {"GET", path, {}, {}}, 1s,
                      [this, count](const Result<HttpResponse> &response) {
                          if (!response)
                              return;
                          const auto json = Json::parse(response->body);
                          const auto total = count + json["items"].size();
                          if (json.value("hasMore", false)) {
                              countStored(json["items"].back()["key"], total);
                              return;
                          }
                          note(std::to_string(total) + " jobs in the store");
                          m_loop.after(5s, [this] { countStored({}, 0); });
                      });
    }

    // Case late-start: workers crash while starts are on their way, and the owner hands over.

    static constexpr int rounds = 8;
    static constexpr int crashes = 6; ///< Of 48 workers.

    void beginLateStart()
    {
        m_fleet->setPromiseHandler([this](const std::string &evidence) {
            ++m_broken;
            note("broken: " + evidence);
        });
        m_fleet->setTraceHandler([this](const std::string &event) { note("  " + event); });
        m_fleet->setCrashHandler([this](const std::string &event) { note("crash: " + event); });
        lateStartRound(0);
    }

    void lateStartRound(int round)
    {
        if (round == rounds || m_broken > 0) {
            m_loop.after(m_broken > 0 ? 3s : 5s, [this] {
                const auto doubled = m_fleet->tally().duplicateStarts;
                end(doubled > 0 ? broken : held, std::to_string(doubled) + " work items ran twice");
            });
            return;
        }
        constexpr int jobs = 30;
        note("round " + std::to_string(round));
        for (int n = 0; n < jobs; ++n)
            call("POST", n % nodeCount + 1, round * jobs + n, body(1, 8),
                 [](const Result<HttpResponse> &) {});
        if (m_trouble)
            // The owner sends the starts within some 30 ms.
            m_loop.after(6ms + 3ms * round, [this] {
                for (int n = 0; n < crashes; ++n)
                    m_fleet->crashWorker();
                // The starts without an answer have been sent again by then.
                m_loop.after(110ms, [this] { stopOwner(1); });
            });
        m_loop.after(8s, [this, round] { lateStartRound(round + 1); });
    }

    void stopOwner(int n)
    {
        if (n > nodeCount)
            return;
        m_client.call(nodeAddress(n, metricsPort), {"GET", "/v1/status", {}, {}}, 300ms,
                      [this, n](const Result<HttpResponse> &response) {
                          const auto json
                                  = response ? Json::parse(response->body, nullptr, false) : Json();
                          if (json.is_object() && json.value("owns_schedule", false)) {
                              note("SIGTERM to node-" + std::to_string(n));
                              ::kill(pidOf(n), SIGTERM);
                              return;
                          }
                          stopOwner(n + 1);
                      });
    }

    // Case many-items: a job has more work items than an index of 16 bits names.

    void beginManyItems()
    {
        const int items = m_trouble ? 65'600 : 65'500;
        m_fleet->setPromiseHandler([this](const std::string &evidence) {
            if (++m_broken <= 20)
                note("broken: " + evidence);
        });
        note("a job of " + std::to_string(items) + " work items");
        submit(0, 1, body(1, items), [this, items] { watchItems(items); });
    }

    void watchItems(int items)
    {
        const auto &tally = m_fleet->tally();
        if (++m_accepted % 20 == 0)
            note(std::to_string(tally.started) + " starts, " + std::to_string(tally.done)
                 + " ends, " + std::to_string(tally.duplicateStarts) + " doubled");
        call("GET", 2, 0, {}, [this, items](const Result<HttpResponse> &response) {
            const auto &tally = m_fleet->tally();
            const bool completed
                    = response && response->body.find("completed") != std::string::npos;
            const bool late = EventLoop::now() - m_startedAt > 92s;
            if (!completed && !late && tally.duplicateStarts < 100) {
                m_loop.after(100ms, [this, items] { watchItems(items); });
                return;
            }
            note("GET " + jobId(0) + ": " + outcome(response) + "; " + std::to_string(tally.started)
                 + " starts, " + std::to_string(tally.done) + " ends, "
                 + std::to_string(tally.duplicateStarts) + " doubled");
            if (!completed && tally.duplicateStarts == 0)
                end(notRun, "the job was not finished in time");
            else
                end(tally.duplicateStarts > 0 ? broken : held,
                    std::to_string(tally.duplicateStarts) + " work items ran twice");
        });
    }

    // Case admission-route: the route of a queue with an admission policy is removed.

    void beginAdmissionRoute()
    {
        constexpr int jobs = 6;
        for (int n = 0; n < jobs; ++n) {
            submit(n, n % nodeCount + 1, body(6, 2), [this] {
                if (++m_accepted < jobs)
                    return;
                note(m_trouble ? "version 3 removes the route" : "version 3 changes the time-outs");
                configure(3, !m_trouble, 2500);
                m_loop.after(finishTime, [this] { beginFinalCheck(jobs); });
            });
        }
    }

    std::string m_name;
    std::string m_folder;
    std::string m_host;
    bool m_trouble;
    EventLoop m_loop;
    HttpClient m_client;
    std::ofstream m_record;
    TimePoint m_startedAt = EventLoop::now();
    std::map<std::string, Proxy> m_proxies;
    std::unique_ptr<platform::FleetStandin> m_fleet;
    std::unique_ptr<HttpServer> m_admission;
    int m_owner = 0;
    int m_frozen = 0;
    int m_other = 0;
    bool m_begun = false;
    int m_result = -1;
    int m_broken = 0;
    int m_accepted = 0;
    int m_starts = 0;
    std::map<std::string, std::int64_t> m_clocks; ///< Last clock of each worker.
    std::map<std::string, TimePoint> m_clockReadAt;
    std::set<std::string> m_running;
    std::map<std::string, TimePoint> m_lastActive; ///< Last start or end of each job.
    std::map<std::string, TimePoint> m_cancelledAt;
    std::map<std::string, int> m_refusedStarts;
    std::vector<int> m_sockets;
    Admission m_policy{50ms, 10ms, 3000ms};
    std::deque<std::pair<HttpRequest, HttpServer::Respond>> m_calls;
    bool m_deciding = false;
    int m_decidedCalls = 0;
    int m_refusedCalls = 0;
    int m_lastTicket = 0;
    std::map<std::pair<std::string, std::string>, std::map<std::string, TimePoint>> m_tickets;
    TimePoint m_checkedSince{};
    std::map<int, long> m_peakKb;
    std::map<int, int> m_kills;
    std::set<pid_t> m_killed;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        return notRun;
    std::signal(SIGPIPE, SIG_IGN);
    const char *trouble = std::getenv("TROUBLE");
    const bool with = trouble == nullptr || std::string_view(trouble) != "0";
    const auto result = Case(argv[1], argv[2], argv[3], with).run();
    return result < 0 ? notRun : result;
}
