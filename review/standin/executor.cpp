#include "executor.h"

#include "dragonflysill/base/base64.h"
#include "dragonflysill/jobs/json.h"
#include "dragonflysill/net/httpclient.h"
#include "dragonflysill/net/httpserver.h"
#include "names.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/signal_set.hpp>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <map>
#include <memory>
#include <vector>

namespace review {

using namespace dragonflysill;
using namespace std::chrono_literals;
namespace wire = dragonflysill::platform;

namespace {

constexpr Duration storeTimeout = 1000ms;
constexpr Duration leaseCheckInterval = 10ms;
/** An entry is removed after this number of status report intervals of silence. */
constexpr int missedHeartbeats = 3;
constexpr std::size_t maxEndsPerReport = 500;

class Executor
{
public:
    explicit Executor(const ExecutorSettings &settings)
        : m_settings(settings)
        , m_client(m_loop)
        , m_server(m_loop,
                   [this](const HttpRequest &request, HttpServer::Respond respond) {
                       if (!m_cut)
                           handle(request, std::move(respond));
                   })
        , m_signals(m_loop.context(), SIGUSR1, SIGUSR2, SIGHUP)
        , m_input(m_loop.context(), ::dup(STDIN_FILENO))
    {
    }

    int run()
    {
        if (const auto opened = m_server.listen(m_settings.address); !opened) {
            std::fprintf(stderr, "%s\n", opened.error().text().c_str());
            return 2;
        }
        note("born " + std::to_string(m_born));
        awaitSignal();
        awaitEndOfInput();
        checkLease();
        m_loop.after(std::chrono::milliseconds(m_settings.registerDelayMs), [this] { report(); });
        m_loop.run();
        return 0;
    }

private:
    struct Run
    {
        int attempt = 0;
        TimePoint startedAt{};
        Duration length{0};
        std::int64_t cpu = 0;
    };

    struct End
    {
        std::int64_t number = 0;
        std::string task;
        int attempt = 0;
        std::string how;
    };

    [[nodiscard]] std::int64_t clock() const { return (EventLoop::now() - m_startedAt) / 1ms; }

    void note(const std::string &event) const
    {
        std::printf("%s %s\n", m_settings.id.c_str(), event.c_str());
        std::fflush(stdout);
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &ec, int signal) {
            if (ec)
                return;
            if (signal == SIGHUP) {
                m_cores = m_cores == m_settings.cores ? static_cast<int>(m_running.size())
                                                      : m_settings.cores;
                note("capacity " + std::to_string(m_cores));
            } else {
                m_cut = signal == SIGUSR1;
                note(m_cut ? "cut" : "reachable-again");
            }
            awaitSignal();
        });
    }

    void awaitEndOfInput()
    {
        m_input.async_read_some(boost::asio::buffer(m_inputBytes),
                                [this](const boost::system::error_code &ec, std::size_t) {
                                    if (ec)
                                        m_loop.stop();
                                    else
                                        awaitEndOfInput();
                                });
    }

    // Status reports.

    void report()
    {
        m_loop.after(std::chrono::milliseconds(m_settings.heartbeatMs), [this] { report(); });
        if (m_cut)
            return;
        if (m_lease == 0) {
            grantLease();
            return;
        }
        call(wire::pathKvKeep + std::to_string(m_lease), "{}", [this](const HttpResponse &it) {
            if (it.status == 404)
                grantLease();
            else
                writeEntry();
        });
    }

    void grantLease()
    {
        call(wire::pathKvLease, dump(Json{{"ttlMs", missedHeartbeats * m_settings.heartbeatMs}}),
             [this](const HttpResponse &it) {
                 if (it.status != 200)
                     return;
                 m_lease = Json::parse(it.body).at("lease");
                 writeEntry();
             });
    }

    void writeEntry()
    {
        note("reports");
        const Json entry{{"service", m_settings.service},
                         {"address", m_settings.address},
                         {"zone", "zone-1"},
                         {"version", "v1"},
                         {"slots", m_settings.cores},
                         {"state", "ready"},
                         {"coldLeftMs", 0},
                         {"capacity", capacity()},
                         {"labels", {"a", m_settings.rack}},
                         {"machine", m_settings.machine},
                         {"clockMs", clock()},
                         {"born", m_born},
                         {"seq", ++m_sequence}};
        call(wire::pathKvTxn,
             dump(Json{{"expectRev", Json::array()},
                       {"writes",
                        {{{"key", wire::prefixWorkers + m_settings.id},
                          {"value", encodeBase64(dump(entry))},
                          {"lease", m_lease}}}},
                       {"remove", Json::array()}}),
             [](const HttpResponse &) {});
    }

    template <typename Handler>
    void call(const std::string &path, std::string body, Handler handler)
    {
        m_client.call(m_settings.store, {"POST", path, std::move(body), {}}, storeTimeout,
                      [this, handler](const Result<HttpResponse> &response) {
                          if (response && !m_cut)
                              handler(*response);
                      });
    }

    [[nodiscard]] Json capacity() const
    {
        return {{"cpu", m_cores * 1000}, {"memMb", m_cores * 4096}, {"gpu", 0}};
    }

    // Orders.

    void handle(const HttpRequest &request, HttpServer::Respond respond)
    {
        if (request.target == "/healthz") {
            respond({200, {}, {}});
            return;
        }
        if (request.header(wire::headerExpectInstance) != m_settings.id) {
            respond({421, {}, {}});
            return;
        }
        const auto json = Json::parse(request.body, nullptr, false);
        if (!json.is_object()) {
            respond({400, {}, {}});
            return;
        }
        expireLease();
        const auto fence = json.value("fencingToken", std::int64_t{0});
        if (fence < m_fence) {
            refuse("fence", respond);
            return;
        }
        m_fence = fence;
        if (request.target == wire::pathRunStart)
            start(json, respond);
        else if (request.target == wire::pathRunStop)
            stop(json, respond);
        else if (request.target == wire::pathHold)
            hold(json, std::move(respond));
        else
            respond({200, dump(Json{{"clockMs", clock()}}), {}});
    }

    void refuse(const char *reason, const HttpServer::Respond &respond)
    {
        respond({409, dump(Json{{"clockMs", clock()}, {"reason", reason}}), {}});
    }

    /** Extends the lease; a longer one than the maximum is shortened to it. */
    void extendLease(std::int64_t deadline)
    {
        m_leaseUntil = std::max(m_leaseUntil, std::min(deadline, clock() + m_settings.maxHoldMs));
    }

    void start(const Json &json, const HttpServer::Respond &respond)
    {
        const std::string task = json.at("task");
        const int attempt = json.at("attempt");
        const std::int64_t deadline = json.at("deadlineMs");
        const auto it = m_running.find(task);
        if (it != m_running.end() ? it->second.attempt != attempt
                                  : attempt <= m_lastEndedAttempt[task]) {
            extendLease(deadline);
            refuse("old", respond);
            return;
        }
        if (deadline < clock()) {
            refuse("late", respond);
            return;
        }
        extendLease(deadline);
        if (it == m_running.end()) {
            if (std::ssize(m_running) >= m_cores) {
                note("refused " + task + " attempt " + std::to_string(attempt) + " reason room");
                refuse("room", respond);
                return;
            }
            const auto length
                    = std::chrono::milliseconds(std::stoi(json.at("spec").get<std::string>()));
            m_running[task] = {attempt, EventLoop::now(), length, 0};
            note("start " + task + " attempt " + std::to_string(attempt) + " deadline "
                 + std::to_string(deadline) + " clock " + std::to_string(clock()) + " lease-until "
                 + std::to_string(m_leaseUntil));
            m_loop.after(length, [this, task, attempt] {
                expireLease();
                const auto run = m_running.find(task);
                if (run != m_running.end() && run->second.attempt == attempt)
                    end(task, "done");
            });
        }
        respond({200, dump(Json{{"clockMs", clock()}}), {}});
    }

    void stop(const Json &json, const HttpServer::Respond &respond)
    {
        const std::string task = json.at("task");
        const int attempt = json.at("attempt");
        m_lastEndedAttempt[task] = std::max(m_lastEndedAttempt[task], attempt);
        const auto it = m_running.find(task);
        if (it != m_running.end() && it->second.attempt <= attempt)
            end(task, "stopped");
        respond({200, dump(Json{{"clockMs", clock()}}), {}});
    }

    void end(const std::string &task, const std::string &how)
    {
        const auto it = m_running.find(task);
        m_lastEndedAttempt[task] = std::max(m_lastEndedAttempt[task], it->second.attempt);
        m_ended.push_back({++m_lastEndNumber, task, it->second.attempt, how});
        note("end " + task + " attempt " + std::to_string(it->second.attempt) + " how " + how);
        m_running.erase(it);
        for (const auto &waiting : std::exchange(m_waiting, {}))
            answerHold(waiting);
    }

    void hold(const Json &json, HttpServer::Respond respond)
    {
        if (json.contains("deadlineMs")) {
            const auto deadline = json["deadlineMs"].get<std::int64_t>();
            const bool clamped = deadline > clock() + m_settings.maxHoldMs;
            extendLease(deadline);
            if (clamped)
                note("hold deadline " + std::to_string(deadline) + " clock "
                     + std::to_string(clock()) + " lease-until " + std::to_string(m_leaseUntil));
        }
        const auto upTo = json.value("ackedUpto", std::int64_t{0});
        for (const auto &it : m_ended) {
            if (it.number <= upTo)
                note("acked " + it.task + " attempt " + std::to_string(it.attempt) + " how "
                     + it.how);
        }
        std::erase_if(m_ended, [upTo](const End &it) { return it.number <= upTo; });
        note("hold");
        const auto wait = json.value("waitMs", std::int64_t{0});
        if (wait == 0 || !m_ended.empty()) {
            answerHold(respond);
            return;
        }
        auto answered = std::make_shared<bool>(false);
        HttpServer::Respond once = [answered, respond = std::move(respond)](HttpResponse it) {
            if (!std::exchange(*answered, true))
                respond(std::move(it));
        };
        m_waiting.push_back(once);
        m_loop.after(std::chrono::milliseconds(wait), [this, once] { answerHold(once); });
    }

    void answerHold(const HttpServer::Respond &respond)
    {
        if (m_cut)
            return;
        Json running = Json::array();
        for (const auto &[task, run] : m_running) {
            const auto percent = 100 * (EventLoop::now() - run.startedAt) / run.length;
            running.push_back({task, run.attempt, "", std::min<std::int64_t>(99, percent), 1000});
        }
        Json ended = Json::array();
        for (const auto &it : m_ended) {
            if (ended.size() < maxEndsPerReport)
                ended.push_back({it.number, it.task, it.attempt, it.how, ""});
        }
        respond({200,
                 dump(Json{{"clockMs", clock()},
                           {"born", m_born},
                           {"running", running},
                           {"ended", ended}}),
                 {}});
    }

    void expireLease()
    {
        if (clock() <= m_leaseUntil)
            return;
        while (!m_running.empty())
            end(std::string(m_running.begin()->first), "lapsed");
    }

    void checkLease()
    {
        expireLease();
        m_loop.after(leaseCheckInterval, [this] { checkLease(); });
    }

    ExecutorSettings m_settings;
    EventLoop m_loop;
    HttpClient m_client;
    HttpServer m_server;
    boost::asio::signal_set m_signals;
    boost::asio::posix::stream_descriptor m_input;
    std::array<char, 64> m_inputBytes{};
    bool m_cut = false;
    int m_cores = m_settings.cores; ///< At present.
    TimePoint m_startedAt = EventLoop::now();
    std::int64_t m_born = unixMilliseconds();
    std::int64_t m_lease = 0; ///< Of its entry in the store.
    std::int64_t m_sequence = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0; ///< On clock().
    std::map<std::string, Run> m_running;
    std::map<std::string, int> m_lastEndedAttempt;
    std::vector<End> m_ended;
    std::int64_t m_lastEndNumber = 0;
    std::vector<HttpServer::Respond> m_waiting;
};

} // namespace

int runExecutor(const ExecutorSettings &settings)
{
    return Executor(settings).run();
}

} // namespace review
