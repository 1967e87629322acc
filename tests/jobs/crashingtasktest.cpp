#include "schedulerharness.h"

#include "dragonflysill/jobs/jobcodec.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace dragonflysill;
using namespace dragonflysill::test;

namespace {

/** Number of starts after three crashes from which the users count a task as started too often. */
constexpr int maxStartsAfterThreeCrashes = 2;

/** Ends a worker's process; it is back at once as another worker on the same instance. */
void crash(SchedulerHarness &harness, const std::string &id, int &lastWorker)
{
    const auto description = harness.workers[id].description;
    harness.workers.erase(id);
    harness.scheduler.holdUnanswered(id, harness.now);
    auto &next = harness.workers["w" + std::to_string(++lastWorker)];
    next.startedMs = lastWorker;
    next.description = description;
    next.description.id = "w" + std::to_string(lastWorker);
    next.description.startedMs = lastWorker;
    harness.scheduler.addOrUpdateWorker(next.description, harness.now);
    harness.scheduler.unlistWorker(id, harness.now);
    harness.reportFrom(next.description.id);
}

/** Workers of one instance each, numbered in the order of their start. */
int addWorkers(SchedulerHarness &harness, int count)
{
    for (int n = 1; n <= count; ++n) {
        harness.workers["w" + std::to_string(n)].startedMs = n;
        harness.addWorker("w" + std::to_string(n), 8, "instance-" + std::to_string(n));
    }
    return count;
}

/** Replaces the labels of a worker. */
void setLabel(SchedulerHarness &harness, const std::string &id, const std::string &label)
{
    auto &description = harness.workers[id].description;
    description.labels = {label};
    harness.scheduler.addOrUpdateWorker(description, harness.now);
}

/** Adds workers of one rack and starts a task on each of three; returns those three. */
std::vector<std::string> startOnRack(SchedulerHarness &harness, int workers)
{
    addWorkers(harness, workers);
    for (auto &[id, worker] : harness.workers) {
        worker.description.rack = "rack";
        harness.scheduler.addOrUpdateWorker(worker.description, harness.now);
    }
    auto spread = step(3);
    spread.maxPerWorker = 1;
    harness.addJob(job("j", {spread}));
    harness.decide();
    std::vector<std::string> holders;
    holders.reserve(3);
    for (int n = 0; n < 3; ++n)
        holders.push_back(harness.workerOf({"j", 0, 0, n}));
    return holders;
}

/** Result of a play with a task that crashes each worker that starts it. */
struct CrashTally
{
    int starts = 0;
    int crashes = 0;
    std::set<std::string> jobsHit; ///< Other jobs that ran on a worker when it crashed.
};

/** Lets time pass, while the first task of a job crashes each worker that starts it. */
CrashTally play(SchedulerHarness &harness, const std::string &deadly, int lastWorker, Duration time)
{
    CrashTally tally;
    for (const auto end = harness.now + time; harness.now < end; harness.advanceTime(100ms)) {
        harness.reportAll();
        harness.saveAll();
        harness.decide();
        const auto worker = harness.workerOf({deadly, 0, 0, 0});
        if (!worker.empty()) {
            ++tally.starts;
            ++tally.crashes;
            for (const auto &[task, row] : harness.workers[worker].running) {
                if (task.job != deadly)
                    tally.jobsHit.insert(task.job);
            }
            crash(harness, worker, lastWorker);
        }
        // Other tasks take half a second.
        for (auto &[id, it] : harness.workers) {
            std::vector<TaskId> done;
            for (auto &[task, row] : it.running) {
                row.percent += 20;
                if (row.percent >= 100)
                    done.push_back(task);
            }
            for (const auto &task : done)
                it.end(task, RunEnd::Done);
        }
    }
    return tally;
}

JobStatus statusOf(const SchedulerHarness &harness, const std::string &id)
{
    return harness.scheduler.job(id)->progress().state;
}

/** A service of three tasks on a worker each, one of which may be unavailable. */
SubmittedJob serviceOfThree()
{
    auto serving = step(3);
    serving.persistent = true;
    serving.maxUnavailable = 1;
    serving.maxPerWorker = 1;
    return job("service", {serving});
}

/**
 * Lets the first task of the service crash its workers until the service has failed.
 * @param othersCrashed whether the worker of the second task crashes once shortly before
 */
std::vector<StopTask> failService(SchedulerHarness &harness, bool othersCrashed = false)
{
    int lastWorker = addWorkers(harness, 8);
    harness.addJob(serviceOfThree());
    std::vector<StopTask> stops;
    for (int n = 0; n < 200 && statusOf(harness, "service") != JobStatus::Failed; ++n) {
        harness.saveAll();
        const auto orders = ordersOf<StopTask>(harness.decide());
        stops.insert(stops.end(), orders.begin(), orders.end());
        for (auto &[id, it] : harness.workers) {
            for (auto &[task, row] : it.running)
                row.percent = task.index == 0 ? 0 : 100;
        }
        const auto *service = harness.scheduler.job("service");
        const int others = service->crashes({"service", 0, 0, 1});
        const bool almostFailed
                = service->crashes({"service", 0, 0, 0}) == JobRun::maxPersistentCrashes - 1;
        const auto other = harness.workerOf({"service", 0, 0, 1});
        if (othersCrashed && almostFailed && others == 0)
            crash(harness, other, lastWorker);
        // The last crash comes once the second task is back.
        const auto worker = harness.workerOf({"service", 0, 0, 0});
        if (!worker.empty() && !(othersCrashed && almostFailed && other.empty()))
            crash(harness, worker, lastWorker);
        harness.advanceTime(100ms);
        harness.reportAll();
    }
    return stops;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashingTasks)

// Guards against a task that crashes one worker after the other until the day ends.
BOOST_AUTO_TEST_CASE(JobIsGivenUpAfterThreeWorkersCrashedUnderItsTask)
{
    SchedulerHarness harness;
    const int workers = addWorkers(harness, 6);
    harness.addJob(job("deadly", {step(1)}));
    const auto tally = play(harness, "deadly", workers, 20s);
    BOOST_TEST((statusOf(harness, "deadly") == JobStatus::Failed));
    BOOST_TEST(tally.crashes <= JobRun::maxCrashes);
    BOOST_TEST(tally.starts <= 3 + maxStartsAfterThreeCrashes);
}

// Tasks that shared a worker with the one that crashed it are not known to be sound. Guards
// against giving them up, and against more jobs that lose their runs in the next crash.
BOOST_AUTO_TEST_CASE(TasksThatSharedACrashedWorkerComplete)
{
    SchedulerHarness harness;
    const int workers = addWorkers(harness, 6);
    for (int n = 0; n < 4; ++n)
        harness.addJob(job("sound-" + std::to_string(n), {step(2)}));
    harness.addJob(job("deadly", {step(1)}));
    const auto first = play(harness, "deadly", workers, 100ms);
    BOOST_TEST(!first.jobsHit.empty());
    const auto later = play(harness, "deadly", workers + first.crashes, 20s);
    BOOST_TEST(later.jobsHit.empty());
    BOOST_TEST((statusOf(harness, "deadly") == JobStatus::Failed));
    for (int n = 0; n < 4; ++n)
        BOOST_TEST((statusOf(harness, "sound-" + std::to_string(n)) == JobStatus::Completed));
}

// Guards against giving up a task that may never have reached the workers that crashed.
BOOST_AUTO_TEST_CASE(TaskIsNotGivenUpAfterThreeCrashesWithUnansweredStarts)
{
    SchedulerHarness harness;
    int lastWorker = addWorkers(harness, 1);
    harness.addJob(job("sound", {step(1)}));
    for (int n = 1; n <= 3; ++n) {
        const auto starts = ordersOf<StartTask>(harness.decideWithSaves(true));
        BOOST_REQUIRE(!starts.empty());
        harness.scheduler.startUnanswered(starts.front(), harness.now);
        crash(harness, std::string(harness.workers.begin()->first), lastWorker);
        BOOST_TEST(harness.scheduler.job("sound")->crashes({"sound", 0, 0, 0}) == n);
    }
    // No worker has confirmed a start.
    BOOST_TEST((statusOf(harness, "sound") == JobStatus::Queued));
    // A successor knows as much.
    const auto &progress = harness.scheduler.job("sound")->progress();
    const auto stored = decodeProgress(encodeProgress(progress));
    BOOST_REQUIRE(static_cast<bool>(stored));
    BOOST_TEST((*stored == progress));
    JobRun inherited(job("sound", {step(1)}), *stored, 1000);
    BOOST_TEST(inherited.crashLimit({"sound", 0, 0, 0}) == JobRun::maxDoubtfulCrashes);
}

// Guards against giving up a task because of those that crash the workers that it shares.
BOOST_AUTO_TEST_CASE(TaskIsNotGivenUpAfterThreeCrashesBesideOtherSuspects)
{
    SchedulerHarness harness;
    int lastWorker = addWorkers(harness, 1);
    const TaskId task{"sound", 0, 0, 0};
    harness.addJob(job("sound", {step(1)}));
    harness.addJob(job("deadly", {step(1)}));
    for (int n = 1; n <= JobRun::maxSharedCrashes; ++n) {
        BOOST_REQUIRE((statusOf(harness, "sound") != JobStatus::Failed));
        int tick = 0;
        for (; tick < 60 && harness.workers.begin()->second.running.size() < 2; ++tick) {
            harness.advanceTime(100ms);
            harness.reportAll();
            harness.saveAll();
            harness.decide();
        }
        // Nothing is left to wait for but a worker of its own.
        BOOST_TEST(tick <= 15);
        crash(harness, std::string(harness.workers.begin()->first), lastWorker);
        BOOST_TEST(harness.scheduler.job("sound")->crashes(task) == n);
    }
    BOOST_TEST((statusOf(harness, "sound") == JobStatus::Failed));
}

// Guards against giving up a sound job that one worker crashed under, because three more starts of
// its task got no answer from workers that others had crashed (LOST).
BOOST_AUTO_TEST_CASE(TaskIsNotGivenUpAfterOneCrashAndThreeUnansweredStarts)
{
    const TaskId task{"sound", 0, 0, 0};
    JobRun run(job("sound", {step(1)}), {}, 0);
    BOOST_TEST(!run.recordCrash(task, 1, {.confirmed = true, .shared = true}));
    for (int n = 2; n <= 4; ++n)
        BOOST_TEST(!run.recordCrash(task, n, {.confirmed = false, .shared = true}));
    BOOST_TEST(run.recordCrash(task, 5, {.confirmed = false, .shared = true}));
}

// Guards against a task that crashes its workers before they can answer, without end.
BOOST_AUTO_TEST_CASE(JobIsGivenUpAfterFiveCrashesWithUnansweredStarts)
{
    SchedulerHarness harness;
    int lastWorker = addWorkers(harness, 1);
    harness.addJob(job("deadly", {step(1)}));
    for (int n = 0; n < 3 + maxStartsAfterThreeCrashes; ++n) {
        BOOST_REQUIRE((statusOf(harness, "deadly") != JobStatus::Failed));
        BOOST_REQUIRE(!ordersOf<StartTask>(harness.decideWithSaves(true)).empty());
        crash(harness, std::string(harness.workers.begin()->first), lastWorker);
    }
    BOOST_TEST((statusOf(harness, "deadly") == JobStatus::Failed));
}

// Guards against successors of the owner that count from zero, each with three more crashes.
BOOST_AUTO_TEST_CASE(CrashesOutliveTheOwner)
{
    SchedulerHarness first;
    const int workers = addWorkers(first, 6);
    first.addJob(job("deadly", {step(1)}));
    while (first.scheduler.job("deadly")->crashes({"deadly", 0, 0, 0}) < 2)
        play(first, "deadly", workers + first.scheduler.job("deadly")->crashes({"deadly", 0, 0, 0}),
             100ms);
    const auto stored = decodeProgress(encodeProgress(first.scheduler.job("deadly")->progress()));
    BOOST_REQUIRE(static_cast<bool>(stored));
    SchedulerHarness second(1000);
    addWorkers(second, 6);
    second.scheduler.addJob(job("deadly", {step(1)}), *stored, true, Duration{0}, second.now);
    const auto tally = play(second, "deadly", 6, 20s);
    BOOST_TEST(tally.crashes == 1);
    BOOST_TEST((statusOf(second, "deadly") == JobStatus::Failed));
}

// Guards against an owner that ends before it has saved several crashes: its successor would start
// the task as often again.
BOOST_AUTO_TEST_CASE(TaskIsNotStartedAgainBeforeItsCrashIsSaved)
{
    SchedulerHarness harness;
    int lastWorker = addWorkers(harness, 6);
    const TaskId task{"deadly", 0, 0, 0};
    harness.addJob(job("deadly", {step(1)}));
    harness.decide();
    crash(harness, harness.workerOf(task), lastWorker);
    BOOST_REQUIRE(harness.scheduler.job("deadly")->crashes(task) == 1);
    for (int n = 0; n < 50; ++n) {
        harness.advanceTime(100ms);
        harness.reportAll();
        harness.decide();
        BOOST_REQUIRE(harness.workerOf(task).empty());
    }
    harness.decideWithSaves();
    BOOST_TEST(!harness.workerOf(task).empty());
}

// Guards against crashes that are lost with an owner that ends before it notices them, so that its
// successors start the task again and again.
BOOST_AUTO_TEST_CASE(CrashThatNoOwnerNoticedIsCountedByTheNextOne)
{
    for (const bool survived : {false, true}) {
        SchedulerHarness first;
        int lastWorker = addWorkers(first, 2);
        const TaskId task{"deadly", 0, 0, 0};
        first.addJob(job("deadly", {step(1)}));
        first.decide();
        crash(first, first.workerOf(task), lastWorker);
        JobProgress stored;
        for (int n = 0; n < 20 && first.workerOf(task).empty(); ++n) {
            stored = first.scheduler.job("deadly")->progress();
            first.saveAll();
            first.advanceTime(100ms);
            first.decide();
        }
        const auto holder = first.workerOf(task);
        BOOST_REQUIRE(!holder.empty());
        const auto decoded = decodeProgress(encodeProgress(stored));
        BOOST_REQUIRE(static_cast<bool>(decoded));
        SchedulerHarness second(1000);
        second.now = first.now;
        second.workers = first.workers;
        if (!survived) {
            second.workers[holder].running.clear();
            ++second.workers[holder].startedMs;
        }
        for (const auto &[id, it] : second.workers) {
            second.scheduler.addOrUpdateWorker(it.description, second.now);
            second.reportFrom(id);
        }
        second.scheduler.addJob(job("deadly", {step(1)}), *decoded, true, Duration{0}, second.now);
        second.decide();
        BOOST_TEST(second.scheduler.job("deadly")->crashes(task) == (survived ? 1 : 2));
        BOOST_TEST(second.scheduler.job("deadly")->progress().trials.empty() == survived);
    }
}

// Guards against a task that crashes worker after worker because each of its owners ends before it
// notices the crash of its first start (BUDGET).
BOOST_AUTO_TEST_CASE(FirstStartsOfSuccessorsCountAsCrashesIfTheirWorkersEnded)
{
    const TaskId task{"deadly", 0, 0, 0};
    for (const bool firstOwnerSaved : {true, false}) {
        JobProgress progress;
        int starts = 0;
        for (int owner = 1; owner <= 8 && progress.state != JobStatus::Failed; ++owner) {
            SchedulerHarness harness(owner * 1000);
            // The worker of the owner before has crashed.
            harness.workers["w" + std::to_string(owner)].startedMs = owner;
            harness.addWorker("w" + std::to_string(owner));
            harness.scheduler.addJob(job("deadly", {step(1)}), progress, owner > 1, Duration{0},
                                     harness.now);
            harness.decideWithSaves();
            starts += static_cast<int>(!harness.workerOf(task).empty());
            if (owner > 1 || firstOwnerSaved)
                progress = harness.scheduler.job("deadly")->progress();
        }
        BOOST_TEST((progress.state == JobStatus::Failed));
        BOOST_TEST(starts <= 3 + maxStartsAfterThreeCrashes);
    }
}

// Guards against an owner that starts a task during a store outage and ends with it, so that
// nothing is known of the crash (BUDGET).
BOOST_AUTO_TEST_CASE(FirstStartOfASuccessorWaitsForItsSaveWhileTheStoreDoesNotAnswer)
{
    SchedulerHarness harness(1000);
    addWorkers(harness, 2);
    const TaskId task{"inherited", 0, 0, 0};
    harness.addJob(job("first", {step(1)}));
    harness.decide();
    const auto unanswered = harness.scheduler.takeUpdates(10);
    BOOST_REQUIRE(!unanswered.empty());
    harness.addJob(job("inherited", {step(1)}), true);
    harness.addJob(job("new", {step(1)}));
    harness.advanceTime(200ms);
    harness.reportAll();
    harness.decide();
    BOOST_TEST(harness.workerOf(task).empty());
    BOOST_TEST(!harness.workerOf({"new", 0, 0, 0}).empty());
    harness.scheduler.updatesSaved(unanswered, false);
    harness.decide();
    BOOST_TEST(harness.workerOf(task).empty());
    harness.saveAll();
    harness.decide();
    BOOST_TEST(!harness.workerOf(task).empty());
}

// Guards against giving up a job because its owners ended between saving a start and sending it.
BOOST_AUTO_TEST_CASE(StartThatWasNeverSentDoesNotCountAsACrash)
{
    const TaskId task{"sound", 0, 0, 0};
    JobProgress progress;
    progress.state = JobStatus::Running;
    progress.crashes[{0, 0, 0}] = {1};
    for (int owner = 1; owner <= 5; ++owner) {
        SchedulerHarness harness(owner * 1000);
        addWorkers(harness, 2);
        harness.scheduler.addJob(job("sound", {step(1)}), progress, true, Duration{0}, harness.now);
        harness.decide();
        BOOST_TEST(harness.scheduler.job("sound")->crashes(task) == 1);
        // The owner saves the start and ends before it sends it.
        const auto decoded
                = decodeProgress(encodeProgress(harness.scheduler.job("sound")->progress()));
        BOOST_REQUIRE(static_cast<bool>(decoded));
        progress = *decoded;
        BOOST_TEST(progress.trials.size() == 1U);
        BOOST_REQUIRE(harness.workerOf(task).empty());
    }
}

// Guards against a sound job that is given up because of saved starts that never reached their
// workers, which others crashed (LOST).
BOOST_AUTO_TEST_CASE(SavedStartIsAConfirmedCrashOnlyIfItsWorkerConfirmedIt)
{
    const TaskId task{"j", 0, 0, 0};
    for (const bool answered : {true, false}) {
        SchedulerHarness first;
        int lastWorker = addWorkers(first, 2);
        first.addJob(job("j", {step(1)}));
        first.decide();
        crash(first, first.workerOf(task), lastWorker);
        first.decideWithSaves(!answered);
        const auto stored = decodeProgress(encodeProgress(first.scheduler.job("j")->progress()));
        BOOST_REQUIRE(static_cast<bool>(stored));
        BOOST_TEST(stored->trials.size() == 1U);
        SchedulerHarness second(1000);
        second.scheduler.addJob(job("j", {step(1)}), *stored, true, Duration{0}, second.now);
        second.addWorker("other");
        second.decide();
        const auto &progress = second.scheduler.job("j")->progress();
        BOOST_TEST(second.scheduler.job("j")->crashes(task) == 2);
        BOOST_TEST(progress.unconfirmedCrashes.empty() == answered);
    }
}

// Guards against crashes whose weight depends on which of them is known first: that of a worker
// that does not answer is known late.
BOOST_AUTO_TEST_CASE(OrderOfCrashesDoesNotDecideWhetherAJobIsGivenUp)
{
    const TaskId task{"j", 0, 0, 0};
    for (int unconfirmed = 1; unconfirmed <= 3; ++unconfirmed) {
        JobRun run(job("j", {step(1)}), {}, 0);
        for (int n = 1; n <= 3; ++n)
            BOOST_TEST(!run.recordCrash(task, n, {.confirmed = n != unconfirmed}));
        BOOST_TEST(run.recordCrash(task, 4, {.confirmed = true}));
    }
}

// A start that was saved for one worker and sent to another would be unknown to a successor.
BOOST_AUTO_TEST_CASE(TaskStartsOnTheWorkerThatItsStartWasSavedFor)
{
    SchedulerHarness harness;
    int lastWorker = addWorkers(harness, 3);
    const TaskId task{"sound", 0, 0, 0};
    harness.addJob(job("sound", {step(1)}));
    harness.decide();
    crash(harness, harness.workerOf(task), lastWorker);
    harness.saveAll();
    harness.decide();
    const auto target = [&harness] {
        const auto &trials = harness.scheduler.job("sound")->progress().trials;
        return trials.begin()->second.begin()->second.target;
    };
    const auto first = target();
    harness.saveAll();
    // Another one is chosen, and saved, once the first one has become unsuitable.
    harness.workers[first.worker].description.draining = true;
    harness.scheduler.addOrUpdateWorker(harness.workers[first.worker].description, harness.now);
    harness.decide();
    BOOST_TEST(harness.workerOf(task).empty());
    BOOST_TEST(target().worker != first.worker);
    harness.addJob(job("other", {step(4)}));
    harness.saveAll();
    harness.decide();
    BOOST_TEST(harness.workerOf(task) == target().worker);
}

// Guards against many suspected tasks of one job that start one after the other, each after a save
// of its own, or all on the same worker.
BOOST_AUTO_TEST_CASE(SuspectedTasksOfOneJobAreSavedTogetherAndSpread)
{
    SchedulerHarness harness;
    int lastWorker = addWorkers(harness, 1);
    harness.addJob(job("wide", {step(8)}));
    harness.decide();
    BOOST_REQUIRE(harness.workers["w1"].running.size() == 8U);
    crash(harness, "w1", lastWorker);
    for (int n = 2; n <= 8; ++n) {
        const auto id = "w" + std::to_string(++lastWorker);
        harness.workers[id].startedMs = lastWorker;
        harness.addWorker(id, 8, "instance-" + std::to_string(n));
    }
    harness.decideWithSaves();
    std::size_t most = 0;
    std::size_t running = 0;
    for (const auto &[id, worker] : harness.workers) {
        most = std::max(most, worker.running.size());
        running += worker.running.size();
    }
    BOOST_TEST(running == 8U);
    BOOST_TEST(most == 1U);
}

// Guards against a task that waits for the slow worker that its start was saved for.
BOOST_AUTO_TEST_CASE(FasterWorkerTakesATaskWhoseStartWasSavedForASlowOne)
{
    SchedulerHarness harness;
    const TaskId task{"j", 0, 1, 0};
    addWorkers(harness, 2);
    auto spread = step(2);
    spread.maxPerWorker = 1;
    auto labelled = step(1);
    labelled.requiredLabel = "late";
    harness.addJob(job("j", {spread, labelled}));
    harness.decide();
    // The task starts once a worker has its label; after the crash, the others have it.
    int lastWorker = 3;
    harness.workers["w3"].startedMs = 3;
    harness.addWorker("w3", 8, "instance-3");
    setLabel(harness, "w3", "late");
    harness.decide();
    BOOST_REQUIRE(harness.workerOf(task) == "w3");
    crash(harness, "w3", lastWorker);
    setLabel(harness, "w4", "none");
    setLabel(harness, "w1", "late");
    setLabel(harness, "w2", "late");
    harness.decide();
    const auto &trials = harness.scheduler.job("j")->progress().trials;
    BOOST_REQUIRE(trials.size() == 1U);
    const auto slow = trials.begin()->second.begin()->second.target.worker;
    const std::string other = slow == "w1" ? "w2" : "w1";
    harness.advanceTime(500ms);
    for (const auto &[id, percent] : {std::pair{other, 60}, std::pair{slow, 10}}) {
        for (auto &[running, row] : harness.workers[id].running)
            row.percent = percent;
        harness.reportFrom(id);
    }
    BOOST_REQUIRE(harness.scheduler.worker(slow)->health.slow(harness.now));
    harness.decideWithSaves();
    BOOST_TEST(harness.workerOf(task) == other);
}

// A start that was refused must not count as a crash for a successor, so its record must be removed
// from the store, too.
BOOST_AUTO_TEST_CASE(RefusedStartIsSavedAsNoTrial)
{
    SchedulerHarness harness;
    int lastWorker = addWorkers(harness, 2);
    harness.addJob(job("sound", {step(1)}));
    harness.decide();
    crash(harness, harness.workerOf({"sound", 0, 0, 0}), lastWorker);
    const auto starts = ordersOf<StartTask>(harness.decideWithSaves(true));
    BOOST_REQUIRE(starts.size() == 1U);
    harness.saveAll();
    harness.scheduler.startRefused(starts.front(), StartRefusal::Unhealthy, harness.now);
    const auto updates = harness.scheduler.takeUpdates(10);
    BOOST_REQUIRE(updates.size() == 1U);
    BOOST_TEST(updates.front().progress.trials.empty());
}

// Guards against a gang that waits for the store because of a task in another step.
BOOST_AUTO_TEST_CASE(GangStartsWhileACrashOfAnotherStepIsNotSaved)
{
    SchedulerHarness harness;
    int lastWorker = addWorkers(harness, 4);
    auto spec = job("gang", {step(1), step(1), step(2, {1})});
    spec.spec.steps[2].gang = true;
    harness.addJob(spec);
    harness.decide();
    harness.end({"gang", 0, 1, 0}, RunEnd::Done);
    harness.saveAll();
    crash(harness, harness.workerOf({"gang", 0, 0, 0}), lastWorker);
    BOOST_REQUIRE(!harness.scheduler.job("gang")->crashesSaved());
    harness.decide();
    BOOST_TEST(!harness.workerOf({"gang", 0, 2, 0}).empty());
    BOOST_TEST(!harness.workerOf({"gang", 0, 2, 1}).empty());
}

// Guards against a task that meets one crash after the other because it starts beside another
// suspected one whenever it has waited long enough for a worker of its own.
BOOST_AUTO_TEST_CASE(SuspectedTaskPrefersAFullerWorkerToOneWithAnotherSuspect)
{
    SchedulerHarness harness;
    int lastWorker = addWorkers(harness, 1);
    const TaskId first{"first", 0, 0, 0};
    const TaskId second{"second", 0, 0, 0};
    harness.addJob(job("first", {step(1)}));
    harness.addJob(job("second", {step(1)}));
    harness.decide();
    auto filler = step(3);
    filler.requiredLabel = "filler";
    harness.addJob(job("filler", {filler}));
    harness.workers["w9"].startedMs = 1;
    harness.addWorker("w9", 8, "instance-9");
    setLabel(harness, "w9", "filler");
    harness.decide();
    BOOST_REQUIRE(harness.workers["w9"].running.size() == 3U);
    crash(harness, "w1", lastWorker);
    harness.decide();
    harness.advanceTime(500ms);
    harness.decideWithSaves();
    BOOST_REQUIRE(harness.workerOf(first) == "w2");
    BOOST_REQUIRE(harness.workerOf(second).empty());
    harness.advanceTime(600ms);
    harness.decideWithSaves();
    BOOST_TEST(harness.workerOf(second) == "w9");
}

// A start whose outcome is known must not count as a crash for a successor.
BOOST_AUTO_TEST_CASE(TrialsEndWithTheirRunsAndOnceTheyHaveSurvivedTheirStart)
{
    for (const bool ends : {true, false}) {
        SchedulerHarness harness;
        int lastWorker = addWorkers(harness, 2);
        const TaskId task{"j", 0, 0, 0};
        auto persistent = step(1);
        persistent.persistent = true;
        harness.addJob(job("j", {persistent}));
        harness.decide();
        crash(harness, harness.workerOf(task), lastWorker);
        for (int n = 0; n < 20 && harness.workerOf(task).empty(); ++n) {
            harness.saveAll();
            harness.advanceTime(100ms);
            harness.decide();
        }
        BOOST_REQUIRE(!harness.workerOf(task).empty());
        const auto &progress = harness.scheduler.job("j")->progress();
        BOOST_TEST(!progress.trials.empty());
        if (ends)
            harness.end(task, RunEnd::Failed);
        for (int n = 0; !ends && n < 35; ++n) {
            harness.advanceTime(100ms);
            harness.reportAll();
            harness.decide();
        }
        BOOST_TEST(progress.trials.empty());
    }
}

// Guards against a service that ends because one of its tasks met as many crashes as would end a
// job of short tasks.
BOOST_AUTO_TEST_CASE(PersistentTaskIsGivenUpAfterMoreCrashesThanOthers)
{
    SchedulerHarness harness;
    const int workers = addWorkers(harness, 8);
    auto persistent = step(1);
    persistent.persistent = true;
    harness.addJob(job("deadly", {persistent}));
    const auto tally = play(harness, "deadly", workers, 20s);
    BOOST_TEST((statusOf(harness, "deadly") == JobStatus::Failed));
    BOOST_TEST(tally.crashes == JobRun::maxPersistentCrashes);
    BOOST_TEST(tally.starts <= 3 + maxStartsAfterThreeCrashes);
}

// Guards against a change after a job's end, which nothing saves: the ends after it would never be
// acknowledged to their workers.
BOOST_AUTO_TEST_CASE(EndsOfAFailedServiceAreAcknowledged)
{
    SchedulerHarness harness;
    failService(harness, true);
    harness.saveAll();
    // The first one ends a trial.
    BOOST_REQUIRE(!harness.scheduler.job("service")->progress().trials.empty());
    for (const int index : {1, 2}) {
        const TaskId task{"service", 0, 0, index};
        const auto worker = harness.workerOf(task);
        BOOST_REQUIRE(!worker.empty());
        harness.end(task, RunEnd::Failed);
        harness.reportFrom(worker);
        harness.reportFrom(worker);
        BOOST_TEST(harness.workers[worker].ended.empty());
    }
    BOOST_TEST(!harness.scheduler.hasUpdates());
}

// A rack without power says nothing about the tasks that ran on its workers.
BOOST_AUTO_TEST_CASE(FailureOfARackIsNotPutDownToItsTasks)
{
    SchedulerHarness harness;
    addWorkers(harness, 3);
    for (const auto *id : {"w1", "w2", "w3"}) {
        harness.workers[id].description.rack = "rack";
        harness.scheduler.addOrUpdateWorker(harness.workers[id].description, harness.now);
    }
    harness.addJob(job("j", {step(24)}));
    harness.decide();
    for (const auto *id : {"w1", "w2", "w3"})
        harness.scheduler.holdUnanswered(id, harness.now);
    for (const auto *id : {"w1", "w2", "w3"})
        harness.scheduler.retireWorker(id, Scheduler::WorkerEnd::Down, harness.now);
    BOOST_TEST(harness.scheduler.job("j")->progress().crashes.empty());
}

// Guards against tasks whose crashes are not counted because they crash several workers of a rack
// at about the same time, while the others go on (BUDGET).
BOOST_AUTO_TEST_CASE(CrashesOfAFewWorkersAreNotARackFailure)
{
    SchedulerHarness harness;
    int lastWorker = 7;
    const auto holders = startOnRack(harness, lastWorker);
    for (const auto &id : holders)
        harness.scheduler.holdUnanswered(id, harness.now);
    for (const auto &id : holders)
        crash(harness, id, lastWorker);
    BOOST_TEST(harness.scheduler.job("j")->progress().crashes.size() == 3U);
}

// Guards against the same while most of a rack's workers have crashed: one that answers shows that
// the rack has not failed (BUDGET).
BOOST_AUTO_TEST_CASE(RackWithAWorkerThatAnswersHasNotFailed)
{
    for (const bool answers : {true, false}) {
        SchedulerHarness harness;
        const auto holders = startOnRack(harness, 4);
        harness.advanceTime(100ms);
        for (const auto &id : holders)
            harness.scheduler.holdUnanswered(id, harness.now);
        harness.advanceTime(100ms);
        for (const auto &[id, worker] : harness.workers) {
            if (answers && worker.running.empty())
                harness.reportFrom(id);
        }
        for (const auto &id : holders)
            harness.scheduler.retireWorker(id, Scheduler::WorkerEnd::Down, harness.now);
        BOOST_TEST(harness.scheduler.job("j")->progress().crashes.size() == (answers ? 3U : 0U));
    }
}

// A worker that was cut off and answers again has not crashed.
BOOST_AUTO_TEST_CASE(RunsThatEndedWithTheirHoldCountOnlyIfTheWorkerCrashed)
{
    for (const bool crashed : {false, true}) {
        SchedulerHarness harness;
        addWorkers(harness, 1);
        harness.addJob(job("j", {step(1)}));
        harness.decide();
        harness.scheduler.holdUnanswered("w1", harness.now);
        harness.advanceTime(4s);
        harness.decide();
        BOOST_TEST(harness.scheduler.job("j")->crashes({"j", 0, 0, 0}) == 0);
        harness.workers["w1"].running.clear();
        if (crashed)
            ++harness.workers["w1"].startedMs;
        harness.reportFrom("w1");
        BOOST_TEST(harness.scheduler.job("j")->crashes({"j", 0, 0, 0}) == (crashed ? 1 : 0));
    }
}

// A run that has lasted for long did not crash its worker by its start.
BOOST_AUTO_TEST_CASE(PersistentTasksAreNotGivenUpForCrashesLongAfterTheirStart)
{
    SchedulerHarness harness;
    int lastWorker = addWorkers(harness, 2);
    auto persistent = step(1);
    persistent.persistent = true;
    harness.addJob(job("service", {persistent}));
    const TaskId task{"service", 0, 0, 0};
    for (int n = 0; n < 5; ++n) {
        for (int tick = 0; tick < 150; ++tick) {
            harness.decide();
            for (auto &[id, it] : harness.workers) {
                for (auto &[running, row] : it.running)
                    row.percent = 100;
            }
            harness.advanceTime(100ms);
            harness.reportAll();
        }
        BOOST_REQUIRE(!harness.workerOf(task).empty());
        crash(harness, harness.workerOf(task), lastWorker);
    }
    BOOST_TEST((statusOf(harness, "service") == JobStatus::Running));
}

BOOST_AUTO_TEST_SUITE_END()
