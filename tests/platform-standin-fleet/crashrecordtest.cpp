#include "crashrecord.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace dragonflysill::platform;

namespace {

const std::string job = "0123456789abcdef";
const std::string task = job + ".0.0.0";
const std::string otherTask = job + ".0.0.1";

} // namespace

BOOST_AUTO_TEST_SUITE(Crashes)

// Guards against a task that crashes its workers and is started for ever.
BOOST_AUTO_TEST_CASE(ThirdStartAfterThreeCrashesBreaksTheLimit)
{
    CrashRecord record;
    for (int n = 0; n < CrashRecord::crashesToLimit; ++n) {
        BOOST_TEST(!record.taskStarted(task));
        record.workerCrashed(task);
    }
    BOOST_TEST(!record.taskStarted(task));
    BOOST_TEST(!record.taskStarted(task));
    BOOST_TEST(record.taskStarted(task));
    BOOST_TEST(record.taskStarted(task));
}

// Guards against counting starts that followed other causes than crashes, such as moves.
BOOST_AUTO_TEST_CASE(StartsBeforeTheThirdCrashDoNotCount)
{
    CrashRecord record;
    record.workerCrashed(task);
    record.workerCrashed(task);
    for (int n = 0; n < 10; ++n)
        BOOST_TEST(!record.taskStarted(task));
    record.workerCrashed(task);
    BOOST_TEST(!record.taskStarted(task));
    BOOST_TEST(!record.taskStarted(task));
    BOOST_TEST(record.taskStarted(task));
}

// Guards against a job that is given up although no task of it has crashed two workers.
BOOST_AUTO_TEST_CASE(JobMayFailOnceTwoWorkersHaveCrashedUnderOneOfItsTasks)
{
    CrashRecord record;
    BOOST_TEST(!record.mayFail(job));
    record.workerCrashed(task);
    record.workerCrashed(otherTask);
    BOOST_TEST(!record.mayFail(job));
    record.workerCrashed(otherTask);
    BOOST_TEST(record.mayFail(job));
    BOOST_TEST(!record.mayFail("0123456789abcdee"));
    BOOST_TEST(!record.mayFail("0123456789abcdf0"));
}

BOOST_AUTO_TEST_SUITE_END()
