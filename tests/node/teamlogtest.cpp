#include "dragonflysill/node/teamlog.h"
#include "jobs/schedulerharness.h"

#include <boost/test/unit_test.hpp>

using namespace dragonflysill;
using namespace dragonflysill::test;

BOOST_AUTO_TEST_SUITE(TeamLog)

// Guards against an explanation that asks for patience where only a higher ceiling helps.
BOOST_AUTO_TEST_CASE(ReasonTellsWaitingForTheCeilingFromWorkThatNeverFits)
{
    SchedulerHarness harness;
    harness.addWorker("w1");
    Team team{"t", {}, 0, 1, {2000, 0, 0}};
    harness.scheduler.setTeams({&team, 1});
    for (const auto &[id, tasks] : {std::pair("a", 2), std::pair("b", 1), std::pair("c", 3)}) {
        auto added = job(id, {step(tasks)});
        added.team = team.name;
        added.spec.steps[0].gang = tasks > 2;
        harness.addJob(added);
    }
    harness.decide();
    const auto reason = [&](const char *id) {
        return ceilingReason(harness.scheduler, *harness.scheduler.job(id));
    };
    BOOST_TEST(reason("a").empty());
    BOOST_TEST(reason("b").starts_with("tasks wait until team t has less running"));
    BOOST_TEST(reason("c").starts_with("step 0 needs more than the ceiling of team t"));
}

BOOST_AUTO_TEST_SUITE_END()
