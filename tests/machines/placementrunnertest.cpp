#include "dragonflysill/machines/placementrunner.h"

#include "dragonflysill/base/storekeys.h"
#include "dragonflysill/standin/memorystore.h"
#include "dragonflysill/standin/workermodel.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace dragonflysill;

namespace {

/** The platform's worker model with requests that can be lost, and a count of active copies. */
class FakePlatform : public TaskPlatform
{
public:
    explicit FakePlatform(const TimePoint &now)
        : m_now(now)
    {
        m_model.setWorkers({{"w1", "p", "z1", "r1", {16'000, 65'536, 0}},
                            {"w2", "p", "z1", "r2", {16'000, 65'536, 0}}},
                           now);
    }

    Result<std::vector<PlatformWorker>> workers() override { return m_model.workers(); }

    Result<std::vector<PlatformTask>> tasks() override
    {
        auto tasks = m_model.tasks(m_now);
        std::map<std::pair<std::string, int>, int> active;
        for (const auto &it : tasks) {
            if (isActive(it.state) && ++active[{it.job, it.index}] > 1)
                ++copies;
            if (it.state == PlatformTaskState::Succeeded)
                succeeded.insert(it.id);
        }
        return tasks;
    }

    Result<PlatformTask> start(const std::string &worker, const TaskStartRequest &task) override
    {
        return lossy([&] { return m_model.start(worker, task, m_now); });
    }
    Result<PlatformTask> renew(const std::string &id) override
    {
        return lossy([&] { return m_model.renew(id, m_now); });
    }
    Result<PlatformTask> checkpoint(const std::string &id) override
    {
        return lossy([&] { return m_model.checkpoint(id, m_now); });
    }
    Result<PlatformTask> throttle(const std::string &id) override
    {
        return lossy([&] { return m_model.throttle(id, m_now); });
    }
    Result<PlatformTask> stop(const std::string &id) override
    {
        return lossy([&] { return m_model.stop(id, m_now); });
    }

    WorkerModel &model() { return m_model; }

    int loseEvery = 0; ///< Each such request is lost before, and each next one after it ran.
    int copies = 0; ///< Observations of a task that runs twice at once.
    std::set<std::string> succeeded; ///< Attempts that ran to their end.

private:
    template <typename Function>
    Result<PlatformTask> lossy(Function function)
    {
        ++m_requests;
        if (loseEvery > 0 && m_requests % loseEvery == 0)
            return Error(ErrorKind::OutcomeUnknown, "lost request");
        auto result = function();
        if (loseEvery > 0 && m_requests % loseEvery == 1)
            return Error(ErrorKind::OutcomeUnknown, "lost answer");
        return result;
    }

    const TimePoint &m_now;
    WorkerModel m_model;
    int m_requests = 0;
};

struct Fixture
{
    Fixture()
        : store([this] { return now; })
        , platform(now)
    {
        for (int n = 0; n < 2; ++n)
            runners.push_back(std::make_unique<PlacementRunner>(store, fence, platform));
        Transaction transaction;
        transaction.success.emplace_back(PutOperation{"member", "x", 0});
        transaction.success.emplace_back(PutOperation{"owner", "x", 0});
        fence.set("member", store.commit(transaction)->revision);
        Job job;
        job.name = "job";
        job.ticket = 1;
        job.team = "team";
        job.tasks = 12;
        job.cores = 4;
        job.memoryMb = 1024;
        job.checkpointable = true;
        inputs.configuration.jobs["job"] = job;
        platform.model().setProfile("job", {1, 1, std::chrono::seconds(20), false});
    }

    void step(std::size_t runner, int steps)
    {
        for (int n = 0; n < steps; ++n) {
            now += std::chrono::milliseconds(500);
            inputs.nowMs += 500;
            const auto jobs = runners[runner]->step(inputs, condition, events);
            if (jobs)
                status = *jobs;
        }
    }

    std::size_t records()
    {
        return store.range({std::string(storekeys::tasks), storekeys::rangeEnd(storekeys::tasks)})
                ->keyValues.size();
    }

    TimePoint now{std::chrono::seconds(1000)};
    MemoryStore store;
    Fence fence;
    FakePlatform platform;
    FleetInputs inputs;
    Compare condition{"owner", CompareTarget::Value, CompareRelation::Equal, 0, "x"};
    std::vector<std::unique_ptr<PlacementRunner>> runners;
    std::vector<FleetEvent> events;
    std::vector<JobStatus> status;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementRuns)

// Guards against tasks that run twice, or never, when another process takes over in the middle.
BOOST_FIXTURE_TEST_CASE(AnotherProcessContinuesAJob, Fixture)
{
    step(0, 20);
    step(1, 20);
    runners[0]->drop();
    step(0, 150);
    BOOST_REQUIRE(status.size() == 1U);
    BOOST_TEST(status[0].finished == 12);
    BOOST_TEST(platform.succeeded.size() == 12U);
    BOOST_TEST(platform.copies == 0);
}

// Guards against a lost store answer that starts a task twice.
BOOST_FIXTURE_TEST_CASE(LostStoreAnswersStartNothingTwice, Fixture)
{
    for (int n = 0; n < 40; ++n) {
        StoreFaults faults;
        faults.loseAnswers = n % 2;
        faults.loseRequests = n % 3 == 0 ? 1 : 0;
        store.setFaults(faults);
        step(0, 1);
    }
    store.setFaults({});
    step(0, 150);
    BOOST_TEST(status[0].finished == 12);
    BOOST_TEST(platform.succeeded.size() == 12U);
    BOOST_TEST(platform.copies == 0);
}

// Guards against a lost platform request that leaves a task without a run, or runs it twice.
BOOST_FIXTURE_TEST_CASE(LostPlatformRequestsAreRepeated, Fixture)
{
    platform.loseEvery = 3;
    step(0, 30);
    Job urgent = inputs.configuration.jobs["job"];
    urgent.name = "urgent";
    urgent.priority = Priority::Urgent;
    urgent.tasks = 2;
    urgent.cores = 14;
    inputs.configuration.jobs["urgent"] = urgent;
    platform.model().setProfile("urgent", {1, 1, std::chrono::seconds(5), false});
    step(0, 400);
    BOOST_REQUIRE(status.size() == 2U);
    BOOST_TEST(status[0].finished == 12);
    BOOST_TEST(status[1].finished == 2);
    BOOST_TEST(platform.copies == 0);
}

// Guards against a task that is started elsewhere although its stop was lost and it still runs.
BOOST_FIXTURE_TEST_CASE(LostStopsStartNothingTwice, Fixture)
{
    step(0, 10);
    Job urgent = inputs.configuration.jobs["job"];
    urgent.name = "urgent";
    urgent.priority = Priority::Urgent;
    urgent.tasks = 1;
    urgent.cores = 14;
    inputs.configuration.jobs["urgent"] = urgent;
    platform.model().setProfile("urgent", {1, 1, std::chrono::seconds(1), false});
    platform.loseEvery = 1;
    step(0, 6);
    platform.loseEvery = 0;
    step(0, 200);
    BOOST_REQUIRE(status.size() == 2U);
    BOOST_TEST(status[0].finished == 12);
    BOOST_TEST(status[1].finished == 1);
    BOOST_TEST(platform.copies == 0);
}

// Guards against a task that runs without a record, so that the next owner starts it again.
BOOST_FIXTURE_TEST_CASE(LostWriteStartsNoTaskWithoutARecord, Fixture)
{
    StoreFaults faults;
    faults.loseRequests = 1;
    store.setFaults(faults);
    step(0, 1);
    store.setFaults({});
    step(0, 30);
    BOOST_TEST(records() >= 8U);
    for (const auto &it : platform.model().tasks(now)) {
        const auto key = storekeys::join(storekeys::tasks, it.job) + "/" + std::to_string(it.index);
        BOOST_TEST(!store.range({key, {}})->keyValues.empty(), it.id << " has no record");
    }
    step(1, 200);
    BOOST_TEST(platform.succeeded.size() == 12U);
    BOOST_TEST(platform.copies == 0);
}

// Guards against a process whose lease expired and that still starts tasks.
BOOST_FIXTURE_TEST_CASE(LostRegistrationStartsNothing, Fixture)
{
    Transaction transaction;
    transaction.success.emplace_back(DeleteOperation{"member", {}});
    (void)store.commit(transaction);
    step(0, 10);
    BOOST_TEST(platform.model().tasks(now).empty());
    BOOST_TEST(records() == 0U);
}

// Guards against a cancelled job that runs on or leaves records behind.
BOOST_FIXTURE_TEST_CASE(CancelledJobIsStoppedInOnePass, Fixture)
{
    step(0, 10);
    BOOST_TEST(records() == 8U);
    inputs.configuration.jobs["job"].cancelled = true;
    inputs.configuration.jobs["job"].ticket = 2;
    step(0, 1);
    BOOST_TEST(records() == 0U);
    for (const auto &it : platform.model().tasks(now))
        BOOST_TEST(!isActive(it.state), it.id << " runs on");
    BOOST_TEST(toText(status[0].state) == "cancelled");
}

BOOST_AUTO_TEST_SUITE_END()
