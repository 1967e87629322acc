#include "dragonflysill/standin/platformserver.h"
#include "dragonflysill/standin/workermodel.h"
#include "dragonflysill/store/workerclient.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

PlatformWorker worker(const std::string &name)
{
    return {name, "p", "z1", "r1", {16000, 65536, 2}};
}

TaskStartRequest task(const std::string &id, const std::string &job = "j")
{
    return {id, job, 0, {4000, 20000, 1}, true, 10s};
}

struct WorkerModelFixture
{
    WorkerModelFixture()
    {
        model.setWorkers({worker("w1"), worker("w2")}, now);
        model.setProfile("j", {0.5, 1.5, 40s, false});
    }

    std::string stateAt(Duration time, const std::string &id)
    {
        for (const PlatformTask &it : model.tasks(start + time)) {
            if (it.id == id)
                return std::string(toText(it.state));
        }
        return "absent";
    }

    const TimePoint start{1h};
    TimePoint now = start;
    WorkerModel model;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Workers, WorkerModelFixture)

// Guards against tasks that keep running after their lease is no longer renewed.
BOOST_AUTO_TEST_CASE(ATaskEndsWithItsLease)
{
    model.start("w1", task("t"), start);
    BOOST_TEST(model.renew("t", start + 9s).ok());
    BOOST_TEST(stateAt(18s, "t") == "running");
    BOOST_TEST(stateAt(19s, "t") == "lease-expired");
    BOOST_TEST(model.renew("t", start + 19s).error().is(ErrorKind::Conflict));
    BOOST_TEST(stateAt(79s, "t") == "absent");
}

// Guards against usage being reported without delay, since placement could then come to rely on it.
BOOST_AUTO_TEST_CASE(UsageIsReportedLate)
{
    model.start("w1", task("t"), start);
    BOOST_TEST(!model.tasks(start + 1999ms).front().usage.has_value());
    BOOST_TEST((model.tasks(start + 2s).front().usage == PlatformResources{2000, 30000, 1}));
    model.throttle("t", start + 3s);
    BOOST_TEST((model.tasks(start + 4s).front().usage->milliCores == 2000));
    BOOST_TEST((model.tasks(start + 5s).front().usage->milliCores == 500));
}

// Guards against progress that a checkpoint loses or that a throttled task makes at full speed.
BOOST_AUTO_TEST_CASE(ACheckpointKeepsProgress)
{
    TaskStartRequest first = task("t1");
    first.lease = 1h;
    model.start("w1", first, start);
    BOOST_TEST(model.checkpoint("t1", start + 30s).ok());
    TaskStartRequest second = task("t2");
    second.lease = 1h;
    model.start("w2", second, start + 50s);
    model.throttle("t2", start + 55s);
    BOOST_TEST(stateAt(74s, "t2") == "throttled");
    BOOST_TEST(stateAt(75s, "t2") == "succeeded");
}

// Guards against starts that succeed on a failing worker, without memory, or with accelerators in
// use, so that placement would not be tested with these failures.
BOOST_AUTO_TEST_CASE(StartsFailAsOnRealWorkers)
{
    model.setFailing("w2", true);
    model.start("w2", task("broken"), start);
    BOOST_TEST(stateAt(100ms, "broken") == "running");
    BOOST_TEST(stateAt(200ms, "broken") == "failed");
    model.start("w1", task("t1"), start + 1s);
    model.start("w1", task("t2"), start + 1s);
    BOOST_TEST(model.start("w1", task("t3"), start + 1s).error().is(ErrorKind::Conflict));
    TaskStartRequest large = task("large", "other");
    large.declared = {1000, 60000, 0};
    model.setProfile("other", {1, 1, 60s, false});
    BOOST_TEST(model.start("w1", large, start + 2s)->reason == "out of memory");
    BOOST_TEST(stateAt(2s, "t2") == "running");
    BOOST_TEST(model.start("w9", large, start + 2s).error().is(ErrorKind::NotFound));
}

// Guards against a task that runs twice because its start was repeated after a lost answer.
BOOST_AUTO_TEST_CASE(ARepeatedStartChangesNothing)
{
    model.start("w1", task("t"), start);
    BOOST_TEST(model.start("w1", task("t"), start + 5s)->id == "t");
    BOOST_TEST(model.tasks(start + 5s).size() == 1U);
    BOOST_TEST(stateAt(10s, "t") == "lease-expired");
}

// Guards against differences between the messages of the worker client and of the stand-in.
BOOST_AUTO_TEST_CASE(ClientAndPlatformAgree)
{
    PlatformServer server{PlatformServerSettings{0ms, 50ms, 8, {}, 0, 0}};
    const int port = server.start("127.0.0.1", 0).value();
    const std::string address = "127.0.0.1:" + std::to_string(port);
    WorkerClient client({address, "c", 1000ms});
    httplib::Client http("127.0.0.1", port);
    const nlohmann::json workers{{"workers", std::vector{worker("w1")}}};
    BOOST_REQUIRE(http.Post("/standin/workers", workers.dump(), "application/json"));
    BOOST_TEST((client.workers().value() == std::vector{worker("w1")}));
    BOOST_TEST((client.start("w1", task("t"))->state == PlatformTaskState::Running));
    BOOST_TEST(client.renew("t").ok());
    BOOST_TEST((client.throttle("t")->state == PlatformTaskState::Throttled));
    BOOST_TEST((client.checkpoint("t")->state == PlatformTaskState::Checkpointed));
    BOOST_TEST(client.stop("t").error().is(ErrorKind::Conflict));
    BOOST_TEST(client.stop("u").error().is(ErrorKind::NotFound));
    BOOST_TEST(client.tasks()->size() == 1U);
    http.Post("/standin/faults", R"({"platform_down":true})", "application/json");
    BOOST_TEST(client.tasks().error().is(ErrorKind::Unreachable));
    http.Post("/standin/faults", R"({"drop":true})", "application/json");
    BOOST_TEST(client.stop("t").error().is(ErrorKind::OutcomeUnknown));
    server.stop();
    BOOST_TEST(client.tasks().error().is(ErrorKind::Unreachable));
}

BOOST_AUTO_TEST_SUITE_END()
