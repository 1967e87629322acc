// The sequences of events of the cases that are scripts, and the checks of the rules they name.

#include "platform.h"

#include <algorithm>
#include <csignal>
#include <memory>
#include <optional>
#include <utility>

namespace review {

using namespace std::chrono_literals;

namespace {

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;
/** Longest time of a scenario, below the limit of 120 s for a script. */
constexpr Duration longestScenario = 100s;
constexpr Duration pollInterval = 200ms;

/** Returns the body of a job with one work item of one core. */
std::string oneTask(int runTimeMs)
{
    return dump(Json{
            {"spec", std::to_string(runTimeMs)},
            {"steps", {{{"count", 1}, {"cpu", 1000}, {"memMb", 512}, {"estimateMs", runTimeMs}}}}});
}

/** Asks for the state of a job until it has ended; the nodes are asked in turn. */
void awaitEnd(Platform &platform, const std::string &job,
              const std::function<void(const std::string &state)> &ended, int node = 1)
{
    platform.request(node, "GET", job, {}, [&platform, job, ended, node](const HttpResponse &it) {
        std::string state;
        if (it.status == 200)
            state = Json::parse(it.body).value("state", "");
        if (it.status == 410 || state == "completed" || state == "failed" || state == "cancelled") {
            platform.note("GET " + job + " at node " + std::to_string(node) + ": "
                          + std::to_string(it.status) + ' ' + state);
            ended(state);
            return;
        }
        platform.loop().after(pollInterval, [&platform, job, ended, node] {
            awaitEnd(platform, job, ended, node % 3 + 1);
        });
    });
}

void limitTime(Platform &platform)
{
    platform.loop().after(longestScenario, [&platform] {
        platform.note("the scenario did not end in time");
        platform.finish(couldNotRun);
    });
}

// Two waves that share machines.

class OverlappingWaves
{
public:
    explicit OverlappingWaves(Platform &platform)
        : m_platform(platform)
    {
        for (int n = 1; n <= 8; ++n)
            platform.addMachine("m-" + std::to_string(n), "pool", "r-" + std::to_string(n), 8);
        m_machines[1] = {"m-1", "m-2", "m-3", "m-4", "m-5"};
        m_machines[2] = {"m-1", "m-2", "m-6", "m-7", "m-8"};
        platform.whenReady([this] { m_platform.loop().after(3s, [this] { begin(); }); });
    }

private:
    void begin()
    {
        m_platform.requestWave(1, m_machines[1], 40, 2);
        if (m_platform.trouble())
            m_platform.requestWave(2, m_machines[2], 40, 2);
        else
            m_completed.insert(2);
        poll();
    }

    void poll()
    {
        for (const auto &[number, machines] : m_machines) {
            m_platform.readKey("status/wave/" + std::to_string(number),
                               [this, number](const std::string &value) {
                                   const auto status = Json::parse(value, nullptr, false);
                                   if (status.is_object()
                                       && status.value("state", "") == "completed")
                                       completed(number);
                               });
        }
        m_platform.loop().after(pollInterval, [this] { poll(); });
    }

    void completed(int number)
    {
        if (!m_completed.insert(number).second)
            return;
        m_platform.note("status/wave/" + std::to_string(number) + " is completed");
        for (const auto &it : m_machines[number]) {
            if (m_platform.upkeepBegun[number].contains(it))
                continue;
            m_platform.note("MIXED: wave " + std::to_string(number)
                            + " is said to be completed, and " + it
                            + " has not begun its upkeep for it");
            m_broken = true;
        }
        if (m_completed.size() == m_machines.size())
            m_platform.finish(m_broken ? ruleBroken : ruleHeld);
    }

    Platform &m_platform;
    std::map<int, std::vector<std::string>> m_machines;
    std::set<int> m_completed;
    bool m_broken = false;
};

// An executor that runs a work item is partitioned, three times in a row.

class RepeatedCuts
{
public:
    explicit RepeatedCuts(Platform &platform)
        : m_platform(platform)
    {
        // Two partitions overlap for a moment; 2 of 12 executors are a share of 0.17.
        for (int n = 1; n <= 12; ++n)
            platform.addMachine("m-" + std::to_string(n), "pool", "r-" + std::to_string(n), 8);
        platform.onEvent = [this](const std::string &executor, const std::string &event,
                                  const std::vector<std::string> &) {
            if (event == "start")
                started(executor);
        };
        platform.whenReady([this] { m_platform.loop().after(3s, [this] { begin(); }); });
    }

private:
    static constexpr int cuts = 3;
    static constexpr Duration runTimeBeforeCut = 1000ms;
    static constexpr Duration cutLength = 5500ms;

    void begin()
    {
        m_platform.submit(m_job, oneTask(9000), [this] {
            awaitEnd(m_platform, m_job, [this](const std::string &state) {
                if (state != "completed")
                    m_platform.note("LOST: the job is shown as '" + state
                                    + "', no run of it has failed and no executor has crashed");
                m_platform.finish(state == "completed" ? ruleHeld : ruleBroken);
            });
        });
    }

    void started(const std::string &executor)
    {
        if (!m_platform.trouble() || m_cuts == cuts)
            return;
        ++m_cuts;
        m_platform.loop().after(runTimeBeforeCut, [this, executor] {
            auto *machine = m_platform.machineOfExecutor(executor);
            m_platform.signalExecutor(*machine, SIGUSR1);
            m_platform.loop().after(
                    cutLength, [this, machine] { m_platform.signalExecutor(*machine, SIGUSR2); });
        });
    }

    Platform &m_platform;
    const std::string m_job = "00000000000000c1";
    int m_cuts = 0;
};

// An idle executor restarts under its id between two looks at it; later, at work, it is
// partitioned.

class RestartUnderSameId
{
public:
    explicit RestartUnderSameId(Platform &platform)
        : m_platform(platform)
    {
        for (int n = 1; n <= machines; ++n) {
            auto &machine = platform.addMachine("m-" + std::to_string(n), "pool",
                                                "r-" + std::to_string(n), 8);
            machine.executor.registerDelayMs = registerDelayMs;
        }
        platform.onEvent = [this](const std::string &executor, const std::string &event,
                                  const std::vector<std::string> &words) {
            if (event == "hold" && words.size() == 2)
                held(executor);
            else if (event == "start")
                started(executor, words.at(2));
        };
        // The first job shows which executor an idle fleet gives work to.
        platform.whenReady([this] {
            m_platform.loop().after(10s, [this] {
                m_platform.submit(m_firstJob, oneTask(100), [this] {
                    awaitEnd(m_platform, m_firstJob, [this](const std::string &) {
                        m_platform.loop().after(3s, [this] { m_mayRestart = true; });
                        m_platform.loop().after(9500ms, [this] { begin(); });
                    });
                });
            });
        });
    }

private:
    static constexpr int machines = 8;
    /** A restarted executor serves first and reports its status this much later. */
    static constexpr int registerDelayMs = 300;
    /** An idle executor is looked at every 2 s; it is down between two looks. */
    static constexpr Duration timeUntilKill = 300ms;
    static constexpr Duration downTime = 1600ms;
    static constexpr Duration runTimeBeforeCut = 500ms;
    static constexpr Duration cutLength = 5500ms;

    void held(const std::string &executor)
    {
        if (!m_mayRestart || !m_platform.trouble() || executor != m_executor)
            return;
        m_mayRestart = false;
        m_platform.loop().after(timeUntilKill, [this, executor] {
            auto *machine = m_platform.machineOfExecutor(executor);
            m_platform.signalExecutor(*machine, SIGKILL);
            m_platform.loop().after(downTime, [this, machine, executor] {
                m_platform.startExecutor(*machine, executor);
            });
        });
    }

    void begin()
    {
        m_platform.submit(m_job, oneTask(9000), [this] {
            awaitEnd(m_platform, m_job, [this](const std::string &) {
                m_platform.finish(m_broken                         ? ruleBroken
                                  : m_cut || !m_platform.trouble() ? ruleHeld
                                                                   : couldNotRun);
            });
        });
    }

    void started(const std::string &executor, const std::string &task)
    {
        if (task.starts_with(m_firstJob)) {
            m_executor = executor;
            return;
        }
        std::vector<std::string> running;
        for (const auto &it : m_platform.runs[task]) {
            if (it.how.empty())
                running.push_back(it.executor);
        }
        if (running.size() > 1) {
            m_broken = true;
            m_platform.note("TWICE: " + task + " runs on " + running.front() + " and on "
                            + running.back());
        }
        if (!m_platform.trouble() || executor != m_executor || std::exchange(m_cut, true))
            return;
        m_platform.loop().after(runTimeBeforeCut, [this, executor] {
            auto *machine = m_platform.machineOfExecutor(executor);
            m_platform.signalExecutor(*machine, SIGUSR1);
            m_platform.loop().after(
                    cutLength, [this, machine] { m_platform.signalExecutor(*machine, SIGUSR2); });
        });
    }

    Platform &m_platform;
    const std::string m_firstJob = "00000000000000d0";
    const std::string m_job = "00000000000000d1";
    std::string m_executor; ///< That runs the first job.
    bool m_mayRestart = false;
    bool m_cut = false;
    bool m_broken = false;
};

// Nodes are stopped and started in turn while a queue waits; all nodes are asked for its length.

class PendingDuringRestarts
{
public:
    explicit PendingDuringRestarts(Platform &platform)
        : m_platform(platform)
    {
        for (int n = 1; n <= executors; ++n)
            platform.addMachine("m-" + std::to_string(n), "pool", "r-" + std::to_string(n), 8);
        // The store takes 4 ms for an answer.
        platform.store().slowDown(1h, 4ms);
        platform.onEvent = [this](const std::string &, const std::string &event,
                                  const std::vector<std::string> &words) {
            if (event == "start")
                m_waiting.erase(words.at(2).substr(0, words.at(2).find('.')));
        };
        platform.whenReady([this] { m_platform.loop().after(3s, [this] { submitShort(); }); });
    }

private:
    static constexpr int executors = 4;
    static constexpr int shortJobs = 2000;
    static constexpr int longJobs = 200;
    static constexpr Duration submitInterval = 12ms;
    static constexpr Duration askInterval = 20ms;
    /** `visible_ms` and 2 s. */
    static constexpr Duration visibleTime = 5000ms;
    static constexpr Duration stopInterval = 6000ms;
    /** After an end of a process, its node is out of touch for this time. */
    static constexpr Duration contactTime = 3000ms;
    static constexpr int stops = 4;

    static std::string jobId(int number)
    {
        auto text = std::to_string(number);
        return std::string(16 - text.size(), '0') + text;
    }

    static std::string job(int runTimeMs, std::size_t specBytes)
    {
        auto spec = std::to_string(runTimeMs) + ' ';
        spec.resize(specBytes, 'x');
        return dump(Json{{"spec", spec},
                         {"steps", Json::array({{{"count", 1},
                                                 {"cpu", 1000},
                                                 {"memMb", 512},
                                                 {"estimateMs", runTimeMs}}})}});
    }

    void submitShort()
    {
        if (m_submitted == shortJobs) {
            m_platform.loop().after(2s, [this] { submitLong(); });
            return;
        }
        m_platform.submit(jobId(++m_submitted), job(50, 3900), [] {});
        m_platform.loop().after(submitInterval, [this] { submitShort(); });
    }

    void submitLong()
    {
        if (m_submitted == shortJobs + longJobs) {
            m_platform.loop().after(visibleTime + 1s, [this] {
                for (int n = 1; n <= m_platform.nodes(); ++n)
                    ask(n);
                stopNext(1);
            });
            return;
        }
        const auto id = jobId(++m_submitted);
        m_waiting[id] = TimePoint::max();
        m_platform.submit(id, job(90000, 20), [this, id] {
            if (const auto it = m_waiting.find(id); it != m_waiting.end())
                it->second = EventLoop::now();
        });
        m_platform.loop().after(submitInterval, [this] { submitLong(); });
    }

    void stopNext(int node)
    {
        if (node > stops) {
            m_platform.note(std::to_string(m_answers) + " answers, the smallest "
                            + std::to_string(m_smallest));
            m_platform.finish(m_wrong > 0 ? ruleBroken : ruleHeld);
            return;
        }
        if (m_platform.trouble()) {
            m_platform.signalNode(node, SIGTERM);
            m_stoppedAt[node] = EventLoop::now();
        }
        m_platform.loop().after(stopInterval, [this, node] { stopNext(node + 1); });
    }

    /** Returns whether a node has not been stopped or started in the last contactTime. */
    [[nodiscard]] bool inTouch(int node) const
    {
        const auto it = m_stoppedAt.find(node);
        return it == m_stoppedAt.end();
    }

    void ask(int node)
    {
        const auto sentAt = EventLoop::now();
        m_platform.request(node, "GET", {}, {}, [this, node, sentAt](const HttpResponse &it) {
            if (it.status == 200)
                answered(node, Json::parse(it.body).value("pending", -1), sentAt);
            m_platform.loop().after(askInterval, [this, node] { ask(node); });
        });
    }

    void answered(int node, int pending, TimePoint sentAt)
    {
        ++m_answers;
        m_smallest = std::min(m_smallest, pending);
        const auto waiting = std::ranges::count_if(
                m_waiting, [sentAt](const auto &it) { return it.second <= sentAt - visibleTime; });
        if (2 * pending >= waiting || !inTouch(node))
            return;
        ++m_wrong;
        m_platform.note("MIXED: node " + std::to_string(node) + " gives " + std::to_string(pending)
                        + " as pending, " + std::to_string(waiting)
                        + " jobs accepted over 5 s before have not begun");
    }

    Platform &m_platform;
    std::map<std::string, TimePoint> m_waiting; ///< Jobs that have not begun, and their acks.
    std::map<int, TimePoint> m_stoppedAt;
    int m_submitted = 0;
    int m_answers = 0;
    int m_wrong = 0;
    int m_smallest = longJobs;
};

// The capacity of the only executor with room shrinks while jobs come; all nodes are asked for the
// length of the queue.

class PendingWithoutRoom
{
public:
    explicit PendingWithoutRoom(Platform &platform)
        : m_platform(platform)
    {
        for (int n = 1; n <= executors; ++n)
            platform.addMachine("m-" + std::to_string(n), "pool", "r-" + std::to_string(n), cores);
        platform.onEvent = [this](const std::string &executor, const std::string &event,
                                  const std::vector<std::string> &words) {
            if (event == "start") {
                m_waiting.erase(words.at(2).substr(0, words.at(2).find('.')));
                ++m_running[executor];
            } else if (event == "reports" && executor == m_executor) {
                reported();
            }
        };
        platform.whenReady([this] { m_platform.loop().after(5s, [this] { submitLong(0); }); });
    }

private:
    static constexpr int executors = 8;
    static constexpr int cores = 8;
    /** They fill all executors but one, which has room for all cores but one. */
    static constexpr int longJobs = (executors - 1) * cores + 1;
    static constexpr int jobs = cores - 1;
    static constexpr Duration shrinkLength = 9000ms;
    static constexpr Duration askInterval = 100ms;
    /** `visible_ms` and 2 s. */
    static constexpr Duration visibleTime = 5000ms;

    static std::string jobId(char kind, int number)
    {
        const auto text = std::to_string(number);
        return std::string(1, kind) + std::string(15 - text.size(), '0') + text;
    }

    void submitLong(int number)
    {
        if (number < longJobs) {
            m_platform.submit(jobId('a', number), oneTask(60000),
                              [this, number] { submitLong(number + 1); });
            return;
        }
        m_platform.loop().after(2s, [this] { chooseExecutor(); });
    }

    void chooseExecutor()
    {
        int full = 0;
        for (const auto &[executor, running] : m_running) {
            full += static_cast<int>(running == cores);
            if (running == 1)
                m_executor = executor;
        }
        if (full != executors - 1 || m_executor.empty()) {
            m_platform.note("the long jobs were not placed as expected");
            m_platform.finish(couldNotRun);
        }
    }

    /** Shrinks the capacity right after a status report. */
    void reported()
    {
        if (std::exchange(m_begun, true))
            return;
        auto *machine = m_platform.machineOfExecutor(m_executor);
        if (m_platform.trouble()) {
            m_platform.signalExecutor(*machine, SIGHUP);
            m_platform.loop().after(
                    shrinkLength, [this, machine] { m_platform.signalExecutor(*machine, SIGHUP); });
        }
        m_platform.loop().after(100ms, [this] { submitJobs(); });
        m_platform.loop().after(shrinkLength + 3s, [this] {
            m_platform.note(std::to_string(m_answers) + " answers, " + std::to_string(m_wrong)
                            + " of them wrong");
            m_platform.finish(m_wrong > 0 ? ruleBroken : ruleHeld);
        });
    }

    void submitJobs()
    {
        for (int n = 0; n < jobs; ++n) {
            const auto id = jobId('b', n);
            m_waiting[id] = TimePoint::max();
            m_platform.submit(id, oneTask(500), [this, id] {
                if (const auto it = m_waiting.find(id); it != m_waiting.end())
                    it->second = EventLoop::now();
            });
        }
        for (int n = 1; n <= m_platform.nodes(); ++n)
            ask(n);
    }

    void ask(int node)
    {
        const auto sentAt = EventLoop::now();
        m_platform.request(node, "GET", {}, {}, [this, node, sentAt](const HttpResponse &it) {
            if (it.status == 200)
                answered(node, Json::parse(it.body).value("pending", -1), sentAt);
            m_platform.loop().after(askInterval, [this, node] { ask(node); });
        });
    }

    void answered(int node, int pending, TimePoint sentAt)
    {
        ++m_answers;
        const auto waiting = std::ranges::count_if(
                m_waiting, [sentAt](const auto &it) { return it.second <= sentAt - visibleTime; });
        if (2 * pending >= waiting)
            return;
        ++m_wrong;
        m_platform.note("MIXED: node " + std::to_string(node) + " gives " + std::to_string(pending)
                        + " as pending, " + std::to_string(waiting)
                        + " jobs accepted over 5 s before have not begun");
    }

    Platform &m_platform;
    std::map<std::string, int> m_running; ///< Number of runs by executor.
    std::string m_executor; ///< The one with room.
    std::map<std::string, TimePoint> m_waiting; ///< Jobs that have not begun, and their acks.
    bool m_begun = false;
    int m_answers = 0;
    int m_wrong = 0;
};

template <typename Scenario>
void keep(Platform &platform)
{
    static std::unique_ptr<Scenario> scenario;
    scenario = std::make_unique<Scenario>(platform);
}

} // namespace

bool beginScenario(const std::string &name, Platform &platform)
{
    limitTime(platform);
    if (name == "overlapping-waves")
        keep<OverlappingWaves>(platform);
    else if (name == "repeated-cuts")
        keep<RepeatedCuts>(platform);
    else if (name == "restart-under-same-id")
        keep<RestartUnderSameId>(platform);
    else if (name == "pending-during-restarts")
        keep<PendingDuringRestarts>(platform);
    else if (name == "pending-without-room")
        keep<PendingWithoutRoom>(platform);
    else
        return false;
    return true;
}

} // namespace review
