#include "admissionformat.h"
#include "ingress.h"
#include "jobformat.h"
#include "kvstore.h"
#include "machinecalls.h"
#include "machineformat.h"
#include "names.h"
#include "nodesettings.h"
#include "workercalls.h"
#include "workerformat.h"

#include "dragonflysill/base/random.h"
#include "dragonflysill/net/httpserver.h"
#include "support/damage.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace dragonflysill;
using namespace dragonflysill::platform;
using namespace std::chrono_literals;

namespace {

/** Returns an address of the loopback interface with a port that is currently free. */
std::string freeAddress()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context,
                                            {boost::asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

const std::string settingsText = R"({"node":"n1","zone":"z1","ip":"10.0.0.1",
 "listen":{"front":"10.0.0.1:1","ready":"10.0.0.1:2"},"portRange":[7000,7010],
 "bounds":{"graceS":6,"maxHoldMs":10000,"migrateS":1.5,"remoteFactor":1.5},
 "advice":"10.0.0.9:3","platform":{"address":"10.0.0.7:4","minTtlMs":1000,"writesPerS":400},
 "cloud":{"address":"10.0.0.8:5","ratePerS":64.0,"dutyPerS":64.0},"added":{"later":1}})";
const std::string submissionText = R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,
 "estimateMs":900,"affinity":"r1-3"},{"count":2,"cpu":2000,"memMb":1024,"after":[0],
 "savesProgress":true,"persistent":true,"maxUnavailable":1,"antiAffinity":2,"requires":"a"}]})";
const std::string workerText = R"({"service":"pool","address":"10.0.1.1:80","zone":"z1","slots":8,
 "state":"ready","seq":4,"coldLeftMs":0,"born":17931,"machine":"m-1","labels":["a","r1-3"],
 "capacity":{"cpu":16000,"memMb":32768,"gpu":1},"clockMs":482113})";
const std::string reportText = R"({"clockMs":482113,"born":99,
 "running":[["5c0e7a21d94b36f8.0.1.17",2,"cp",41,88.5]],
 "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.3",1,"lapsed","x"]]})";
const std::string configurationText = R"({"version":7,"routes":[{"name":"r","host":"HOST.example",
 "prefix":"/a/","timeoutMs":3000,"targetRuntimeMs":600,"priority":1,"service":"pool","attempts":2,
 "slackFactor":1.6,"advice":{"decideMs":5,"periodMs":1,"validMs":3000}}],
 "services":[{"name":"pool","enforcesCapacity":true,"standby":false}],
 "limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":30,"idleTimeoutMs":40}})";
const std::string changesText
        = R"({"events":[{"key":"a","value":"bm9kZS0x","revision":412,"created":4,
 "lease":7},{"key":"b","revision":413,"tombstone":true}],"asOf":413})";
const std::string pageText = R"({"items":[{"key":"a","value":"bm9kZS0x","revision":412,"created":4,
 "lease":7}],"hasMore":true,"asOf":530})";
const std::string machinesText
        = R"({"machines":[{"machine":"m-1","pool":"p","state":"up","zone":"z",
 "labels":["a","r1-2"],"capacity":{"cpu":1},"id":"i-7"},{"odd":1},{"machine":"m-2","pool":"p",
 "state":"upkeep","capacity":{"cpu":8000,"memMb":65536,"gpu":1},"id":null}],"nextToken":"t"})";
const std::string waveText = R"({"wave":1,"machines":["m-1","m-2"],"durationS":20,"ceiling":3})";
const std::string adviceText = R"({"good":[["i-1","ticket"]],"validMs":3000})";

/** Returns a worker's entry in which @p part is replaced. */
std::string workerWith(std::string_view part, std::string_view replacement)
{
    auto text = workerText;
    const auto at = text.find(part);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, part.size(), replacement);
}

/** Returns a submission of one step; of equal fields of an object, the last one counts. */
std::string submissionWithStepField(std::string_view field, std::string_view value)
{
    std::string text = R"({"steps":[{"count":1,")";
    return text.append(field).append("\":").append(value).append("}]}");
}

/** Returns a submission of a repeated job. */
std::string submissionWithField(std::string_view field, std::string_view value)
{
    std::string text = R"({"steps":[{"count":1}],"repeats":3,")";
    return text.append(field).append("\":").append(value).append("}");
}

/** Returns arrays nested in each other, as another writer left them in an entry. */
std::string nestedArrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/** Values that no field for a count, an amount or a time may have. */
const std::vector<std::string> unusableNumbers{
        "-1",    "1e300", "-1e300", "9223372036854775807", "18446744073709551615", "4e18", "true",
        "\"7\"", "null",  "[]"};

} // namespace

BOOST_AUTO_TEST_SUITE(Formats)

BOOST_AUTO_TEST_CASE(SettingsWithUnknownFieldsAreDecoded)
{
    const auto settings = decodeSettings(settingsText);
    BOOST_REQUIRE(settings.ok());
    BOOST_TEST(settings->name == "n1");
    BOOST_TEST(settings->firstPort == 7000);
    BOOST_TEST(settings->moveTime.count() == 1500);
    BOOST_TEST(settings->maxHold.count() == 10000);
    BOOST_TEST(settings->admissionAddress == "10.0.0.9:3");
    BOOST_TEST(settings->machineOrdersPerSecond == 64);
}

BOOST_AUTO_TEST_CASE(MissingSettingIsNamedInTheError)
{
    const auto settings = decodeSettings(R"({"node":"n1"})");
    BOOST_REQUIRE(!settings.ok());
    BOOST_TEST(settings.error().is(ErrorKind::SettingsInvalid));
    BOOST_TEST(settings.error().detail.find("zone") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(SubmissionsAreDecoded)
{
    const auto spec = decodeSubmission(submissionText);
    BOOST_REQUIRE(spec.ok());
    BOOST_TEST(spec->payload == "text");
    BOOST_REQUIRE(spec->steps.size() == 2U);
    BOOST_TEST(spec->steps[0].dataRack == "r1-3");
    BOOST_TEST(spec->steps[1].persistent);
    BOOST_TEST(spec->steps[1].maxPerWorker == 2);
    BOOST_TEST(spec->steps[1].requiredLabel == "a");
    BOOST_TEST(!spec->scheduled);
}

BOOST_AUTO_TEST_CASE(RepeatedJobsHaveDueTimes)
{
    const auto spec = decodeSubmission(
            R"({"steps":[{"count":1}],"repeats":3,"startAtMs":1000,"intervalMs":500})");
    BOOST_REQUIRE(spec.ok());
    BOOST_TEST(spec->dueMs(2) == 2000);
}

BOOST_AUTO_TEST_CASE(InvalidSubmissionsAreRefused)
{
    const std::vector<std::string> bodies{"",
                                          "[]",
                                          "{}",
                                          R"({"steps":[]})",
                                          R"({"steps":[{"count":0}]})",
                                          R"({"steps":[{"count":-1}]})",
                                          R"({"steps":[{"count":1,"after":[0]}]})",
                                          R"({"steps":[{"count":1,"cpu":"much"}]})",
                                          R"({"steps":[{"count":1,"cpu":-5}]})",
                                          R"({"steps":[{"count":999999999}]})",
                                          R"({"spec":5,"steps":[{"count":1}]})"};
    for (const auto &body : bodies) {
        const auto spec = decodeSubmission(body);
        BOOST_TEST(!spec.ok(), body);
        if (!spec)
            BOOST_TEST(spec.error().is(ErrorKind::InvalidInput));
    }
}

// Guards against jobs that are accepted as other jobs than were submitted, since their numbers were
// converted, and against sums and products of needs and times that overflow in the owner.
BOOST_AUTO_TEST_CASE(SubmissionsWithNumbersOutOfRangeAreRefused)
{
    for (const std::string field : {"count", "cpu", "memMb", "gpu", "estimateMs", "targetMs",
                                    "antiAffinity", "maxUnavailable"}) {
        for (const auto &it : unusableNumbers)
            BOOST_TEST(!decodeSubmission(submissionWithStepField(field, it)).ok(),
                       field << ' ' << it);
    }
    for (const std::string field : {"repeats", "startAtMs", "intervalMs"}) {
        for (const auto &it : unusableNumbers)
            BOOST_TEST(!decodeSubmission(submissionWithField(field, it)).ok(), field << ' ' << it);
    }
    for (const std::string field : {"antiAffinity", "maxUnavailable"})
        BOOST_TEST(!decodeSubmission(submissionWithStepField(field, "0.5")).ok(), field << " 0.5");
    BOOST_TEST(!decodeSubmission(submissionWithField("repeats", "0.5")).ok());
    BOOST_TEST(!decodeSubmission(R"({"steps":[{"count":1.5}]})").ok());
    // Converted to an int, they are 1 and 0.
    BOOST_TEST(!decodeSubmission(R"({"steps":[{"count":4294967297}]})").ok());
    BOOST_TEST(!decodeSubmission(R"({"steps":[{"count":1}],"repeats":4294967297})").ok());
    BOOST_TEST(
            !decodeSubmission(R"({"steps":[{"count":1},{"count":1,"after":[4294967296]}]})").ok());
    BOOST_TEST(!decodeSubmission(R"({"steps":[{"count":1},{"count":1,"after":[0.5]}]})").ok());
    BOOST_TEST(decodeSubmission(R"({"steps":[{"count":3000,"cpu":256000,"memMb":1048576,"gpu":16,
                                "estimateMs":86400000}],"repeats":100000,"intervalMs":86400000,
                                "startAtMs":1800000000000})")
                       .ok());
    const auto fractions = decodeSubmission(
            R"({"steps":[{"count":1,"cpu":0.5,"memMb":1.5,"gpu":1.0,"estimateMs":900.9}]})");
    BOOST_REQUIRE(fractions.ok());
    BOOST_TEST((fractions->steps[0].need == Resources{1, 2, 1}));
    BOOST_TEST(fractions->steps[0].estimate.count() == 900);
}

// Guards against one submission that uses up an owner's memory or a value of the store.
BOOST_AUTO_TEST_CASE(SubmissionsWithTooManyTasksOrStepsAreRefused)
{
    const auto withSteps = [](int steps, int tasks) {
        const std::string step = R"({"count":)" + std::to_string(tasks) + '}';
        std::string text = R"({"steps":[)" + step;
        for (int n = 1; n < steps; ++n)
            text += ',' + step;
        return text + "]}";
    };
    BOOST_TEST(decodeSubmission(withSteps(1, 100000)).ok());
    BOOST_TEST(!decodeSubmission(withSteps(2, 100000)).ok());
    BOOST_TEST(decodeSubmission(withSteps(1000, 1)).ok());
    BOOST_TEST(!decodeSubmission(withSteps(1001, 1)).ok());
    // Occurrences of persistent tasks do not complete, so that the last ones would never start.
    const std::string persistent = R"({"steps":[{"count":1,"persistent":true}],"repeats":)";
    BOOST_TEST(decodeSubmission(persistent + "1000}").ok());
    const auto refused = decodeSubmission(persistent + "1001}");
    BOOST_REQUIRE(!refused.ok());
    BOOST_TEST(refused.error().detail.find("persistent") != std::string::npos);
}

// The last due time would be far beyond the range of the clock.
BOOST_AUTO_TEST_CASE(DueTimesDoNotOverflow)
{
    JobSpec spec;
    spec.scheduled = true;
    spec.occurrences = 2'000'000'000;
    spec.firstDueMs = 1'800'000'000'000;
    spec.interval = 31'536'000'000ms;
    BOOST_TEST(spec.dueMs(1) == 1'831'536'000'000);
    BOOST_TEST(spec.dueMs(400'000'000) > spec.dueMs(1));
    BOOST_TEST(spec.dueMs(1'999'999'999) > spec.dueMs(1));
}

BOOST_AUTO_TEST_CASE(WorkersAreDecodedAndInvalidEntriesRefused)
{
    const auto worker = decodeWorker("i-7", workerText);
    BOOST_REQUIRE(worker.ok());
    BOOST_TEST(worker->instance == "m-1");
    BOOST_TEST(worker->rack == "r1-3");
    BOOST_TEST(worker->startedMs == 17931);
    BOOST_TEST(worker->capacity.accelerators == 1);
    BOOST_TEST(!worker->draining);
    auto odd = workerText;
    odd.replace(odd.find("ready"), 5, "dozing");
    BOOST_TEST(!decodeWorker("i-7", odd).ok());
    BOOST_TEST(!decodeWorker("i-7", "\xff\xfe").ok());
}

// Guards against owners that lose a worker or misjudge the fleet because of one entry: a start time
// far ahead makes the next entries look older and retires the other workers of the instance, and an
// absurd capacity receives all tasks and distorts the needs of all pools.
BOOST_AUTO_TEST_CASE(WorkersWithNumbersOutOfRangeAreRefused)
{
    const std::vector<std::string> numbers{"-1",
                                           "1e300",
                                           "-1e300",
                                           "9223372036854775807",
                                           "9223372036854775808",
                                           "1e18",
                                           "0.5",
                                           "true",
                                           "\"7\"",
                                           "18446744073709551615",
                                           "null",
                                           "[]",
                                           "1e400"};
    for (const auto &it : numbers) {
        BOOST_TEST(!decodeWorker("i-7", workerWith("17931", it)).ok(), "born " << it);
        BOOST_TEST(!decodeWorker("i-7", workerWith("16000", it)).ok(), "cpu " << it);
        BOOST_TEST(!decodeWorker("i-7", workerWith("32768", it)).ok(), "memMb " << it);
        BOOST_TEST(!decodeWorker("i-7", workerWith(R"("gpu":1)", R"("gpu":)" + it)).ok(),
                   "gpu " << it);
    }
    for (const auto *it : {"-1e300", "1e300", "1e18", "18446744073709551615", "0.5", "true"})
        BOOST_TEST(!decodeWorker("i-7",
                                 workerWith(R"("seq":4)",
                                            R"("remainingMs":)" + std::string(it) + R"(,"seq":4)"))
                            .ok(),
                   "remainingMs " << it);
    for (const auto *it : {"-1", "1e300", "18446744073709551615", "0.5", "true", "null"})
        BOOST_TEST(
                !decodeWorker("i-7", workerWith(R"("seq":4)", std::string(R"("seq":)") + it)).ok(),
                "seq " << it);
    BOOST_TEST(decodeWorker("i-7", workerWith("17931", "1790000000000")).ok());
    BOOST_TEST(decodeWorker("i-7", workerWith("16000", "256000")).ok());
    BOOST_TEST(decodeWorker("i-7", workerWith(R"("born":17931,)", "")).ok());
}

// Guards against a running worker that is lost because one of its entries names an address to which
// nobody can connect: its runs would end with their hold.
BOOST_AUTO_TEST_CASE(WorkersWithoutAUsableAddressAreRefused)
{
    for (const auto *it :
         {"10.0.1.1:0", "10.0.1.1:65536", "10.0.1.1:99999", "10.0.1.1:-1", "10.0.1.1:80 ",
          "10.0.1.1:", "10.0.1.1", ":80", "", "host.example:80", "10.0.1.256:80", "0.0.0.0:80",
          "224.0.0.1:80", "[::1]:80", "http://a:80", "10.0.1.1:80\\r\\nX: 1"})
        BOOST_TEST(!decodeWorker("i-7", workerWith("10.0.1.1:80", it)).ok(), it);
    BOOST_TEST(decodeWorker("i-7", workerWith("10.0.1.1:80", "10.0.1.1:65535")).ok());
}

// Guards against a worker without an id, headers that the id of a worker adds to the orders, and
// records of workers that the store refuses because their key is too long.
BOOST_AUTO_TEST_CASE(WorkersWithUnusableNamesAreRefused)
{
    for (const auto &it : {std::string(), std::string("i\r\nHost: other"), std::string("i\0", 2),
                           std::string(5000, 'i')})
        BOOST_TEST(!decodeWorker(it, workerText).ok(), "id " << it.size());
    for (const auto &it :
         {std::string(), std::string("\\r\\n"), std::string("\\u0000"), std::string(190, 'p')}) {
        BOOST_TEST(!decodeWorker("i-7", workerWith(R"("pool")", '"' + it + '"')).ok(),
                   "service " << it.size());
        if (!it.empty())
            BOOST_TEST(!decodeWorker("i-7", workerWith("m-1", it)).ok(), "machine " << it.size());
    }
    BOOST_TEST(decodeWorker("i-7", workerWith("m-1", "")).ok());
}

// Guards against processes that end because an entry exhausts their stack.
BOOST_AUTO_TEST_CASE(DeeplyNestedMessagesDoNotCrashTheDecoders)
{
    const auto nested = nestedArrays(2000000);
    BOOST_TEST(!decodeWorker("i-7", nested).ok());
    BOOST_TEST(!decodeWorker("i-7", nested.substr(0, nested.size() / 2)).ok());
    BOOST_TEST(!decodeWorker("i-7", workerWith(R"(["a","r1-3"])", nested)).ok());
    BOOST_TEST(!decodeWorker("i-7", workerWith(R"("m-1")", nested)).ok());
    BOOST_TEST(!decodeWorker("i-7", workerWith("16000", nested)).ok());
    BOOST_TEST(decodeWorker("i-7", workerWith(R"("seq":4)", R"("more":)" + nested + R"(,"seq":4)"))
                       .ok());
    BOOST_TEST(!decodeReport(nested).ok());
    BOOST_TEST(!decodeReport(R"({"clockMs":1,"running":[],"ended":)" + nested + '}').ok());
    BOOST_TEST(!decodeSubmission(R"({"steps":)" + nested + '}').ok());
    BOOST_TEST(decodeInstances(R"({"machines":)" + nested + '}')->instances.empty());
    BOOST_TEST(decodeInstances(R"({"machines":[{"machine":"m","pool":"p","state":"up","labels":)"
                               + nested + "}]}")
                       ->instances.empty());
    BOOST_TEST(!decodeWave(R"({"wave":1,"machines":)" + nested + '}').ok());
    BOOST_TEST(!decodePage(R"({"asOf":1,"items":)" + nested + '}').ok());
    BOOST_TEST(!decodeChanges(R"({"asOf":1,"events":)" + nested + '}').ok());
    BOOST_TEST(!decodeAdmissionResponse(R"({"good":)" + nested + '}').ok());
}

// Guards against processes that end because an answer of the store or a configuration exhausts
// their stack: copies of JSON values are recursive, unlike reading and destroying them.
BOOST_AUTO_TEST_CASE(DeeplyNestedPartsAreNotCopied)
{
    const auto nested = nestedArrays(2000000);
    BOOST_TEST(decodeConflict(R"({"items":)" + nested + '}')->current.empty());
    auto text = configurationText;
    const auto limits = text.find(R"("limits":)");
    BOOST_REQUIRE(limits != std::string::npos);
    BOOST_TEST(!decodeConfiguration(text.substr(0, limits) + R"("limits":)" + nested + '}').ok());
}

// Guards against waves that never end or whose instances are never maintained.
BOOST_AUTO_TEST_CASE(WavesWithNumbersOutOfRangeAreRefused)
{
    const auto waveWith = [](std::string_view part, std::string_view replacement) {
        auto text = waveText;
        const auto at = text.find(part);
        BOOST_REQUIRE(at != std::string::npos);
        return text.replace(at, part.size(), replacement);
    };
    for (const auto *it : {"-1", "1e300", "-1e300", "9223372036854775808", "true", "null"}) {
        BOOST_TEST(!decodeWave(waveWith(":20,", ':' + std::string(it) + ',')).ok(),
                   "durationS " << it);
        BOOST_TEST(!decodeWave(waveWith(":3}", ':' + std::string(it) + '}')).ok(),
                   "ceiling " << it);
        BOOST_TEST(!decodeWave(waveWith(":1,", ':' + std::string(it) + ',')).ok(), "wave " << it);
    }
    BOOST_TEST(decodeWave(waveWith(":20,", ":20.5,"))->duration.count() == 20500);
    BOOST_TEST(decodeWave(waveWith(":3}", ":4294967297}"))->maxInstancesDown == 1000000);
}

// Guards against owners that take a converted number for the worker's clock, for the number of a
// run or for that of an end: with a clock far off, nothing is held; with the number of a run near
// the maximum, the next one overflows; and with that of an end, all later ends are ignored. A
// report is refused as a whole: a run whose row was dropped would look as if it had ended.
BOOST_AUTO_TEST_CASE(ReportsWithNumbersOutOfRangeAreRefused)
{
    const auto with = [](std::string_view part, const std::string &replacement) {
        auto text = reportText;
        const auto at = text.find(part);
        BOOST_REQUIRE(at != std::string::npos);
        return text.replace(at, part.size(), replacement);
    };
    for (const auto &it : unusableNumbers) {
        BOOST_TEST(!decodeReport(with("482113", it)).ok(), "clockMs " << it);
        BOOST_TEST(!decodeClock(R"({"clockMs":)" + it + '}').ok(), "clockMs of an order " << it);
        BOOST_TEST(!decodeReport(with(R"("born":99)", R"("born":)" + it)).ok(), "born " << it);
        BOOST_TEST(!decodeReport(with(R"(17",2,)", R"(17",)" + it + ',')).ok(), "run " << it);
        BOOST_TEST(!decodeReport(with("41,", it + ',')).ok(), "percent " << it);
        BOOST_TEST(!decodeReport(with("[58,", '[' + it + ',')).ok(), "number of an end " << it);
        BOOST_TEST(!decodeReport(with(R"(9",1,)", R"(9",)" + it + ',')).ok(),
                   "run of an end " << it);
    }
    for (const std::string it : {"0.5", "4294967297", "2147483647"}) {
        BOOST_TEST(!decodeReport(with(R"(17",2,)", R"(17",)" + it + ',')).ok(), "run " << it);
        BOOST_TEST(!decodeReport(with(R"(9",1,)", R"(9",)" + it + ',')).ok(),
                   "run of an end " << it);
    }
    // The usage is only a hint.
    for (const std::string it : {"1e300", "-1", "null", "\"7\""}) {
        const auto report = decodeReport(with("88.5", it));
        BOOST_REQUIRE(report.ok());
        BOOST_TEST(!report->running.at(0).usage.has_value(), "usage " << it);
    }
    BOOST_TEST(decodeReport(with("41,", "100.5,"))->running.at(0).percent == 100);
    BOOST_TEST(decodeReport(with("482113", "482113.9"))->clock == 482113);
    BOOST_TEST(decodeReport(with(R"("born":99)", R"("born":1790000000000)")).ok());
}

BOOST_AUTO_TEST_CASE(ReportsAreDecoded)
{
    const auto report = decodeReport(reportText);
    BOOST_REQUIRE(report.ok());
    BOOST_TEST(report->startedMs == 99);
    BOOST_TEST(report->running[0].percent == 41);
    BOOST_TEST(*report->running[0].usage == 88.5);
    BOOST_TEST(report->ended[1].number == 59);
    BOOST_TEST((report->ended[1].end == RunEnd::HoldExpired));
    BOOST_TEST(encodeTask(report->ended[0].task) == "5c0e7a21d94b36f8.0.1.9");
}

BOOST_AUTO_TEST_CASE(RefusalsAreDecoded)
{
    BOOST_TEST((decodeRefusal(409, R"({"reason":"fence"})") == StartRefusal::Fenced));
    BOOST_TEST((decodeRefusal(409, R"({"reason":"old"})") == StartRefusal::StaleRun));
    BOOST_TEST((decodeRefusal(409, R"({"reason":"late"})") == StartRefusal::HoldExpired));
    BOOST_TEST((decodeRefusal(409, R"({"reason":"room"})") == StartRefusal::InsufficientCapacity));
    BOOST_TEST((decodeRefusal(409, R"({"reason":"ticket"})") == StartRefusal::InvalidTicket));
    BOOST_TEST(!decodeRefusal(409, "").has_value());
    BOOST_TEST((decodeRefusal(421, "") == StartRefusal::OtherIncarnation));
    BOOST_TEST((decodeRefusal(503, "") == StartRefusal::Unhealthy));
    BOOST_TEST((decodeRefusal(400, "") == StartRefusal::Invalid));
    BOOST_TEST((decodeRefusal(429, "") == StartRefusal::Unhealthy));
}

BOOST_AUTO_TEST_CASE(OrdersAreEncoded)
{
    const TaskId task{"5c0e7a21d94b36f8", 0, 1, 17};
    BOOST_TEST(encodeStart({"w", task, 2, "text", "cp", "", 486000}, 7)
               == R"({"attempt":2,"deadlineMs":486000,"fencingToken":7,"lastCheckpoint":"cp",)"
                  R"("spec":"text","task":"5c0e7a21d94b36f8.0.1.17"})");
    BOOST_TEST(encodeStop({"w", task, 2}, 7)
               == R"({"attempt":2,"fencingToken":7,"task":"5c0e7a21d94b36f8.0.1.17"})");
    BOOST_TEST(encodeHold({486000, 57}, 7, 1000ms)
               == R"({"ackedUpto":57,"deadlineMs":486000,"fencingToken":7,"waitMs":1000})");
    BOOST_TEST(encodeHold({std::nullopt, 0}, 7, 0ms) == R"({"ackedUpto":0,"fencingToken":7})");
}

BOOST_AUTO_TEST_CASE(ConfigurationsAreDecoded)
{
    const auto configuration = decodeConfiguration(configurationText);
    BOOST_REQUIRE(configuration.ok());
    BOOST_TEST(configuration->match("host.example", "/a/b")->policy.attempts == 2);
    BOOST_TEST(configuration->queue("r")->policy.workerAdmission->validity.count() == 3000);
    BOOST_TEST(configuration->limits.bodyBytes == 200U);
    BOOST_TEST(!decodeConfiguration("{}").ok());
}

BOOST_AUTO_TEST_CASE(StoreResponsesAreDecoded)
{
    const auto changes = decodeChanges(changesText);
    BOOST_REQUIRE(changes.ok());
    BOOST_TEST(changes->updates[0].value == "node-1");
    BOOST_TEST(changes->updates[1].deleted);
    const auto page = decodePage(pageText);
    BOOST_REQUIRE(page.ok());
    BOOST_TEST(page->more);
    BOOST_TEST(page->items[0].lease == 7);
    const auto conflict = decodeConflict(
            R"({"items":[{"key":"a","value":"bm9kZS0x","revision":4},{"key":"b"}]})");
    BOOST_REQUIRE(conflict.ok());
    BOOST_TEST(conflict->current.size() == 1U);
    BOOST_TEST(encodeWrite({{{"k", 0}}, {{"k", "node-1", 5}}, {"gone"}})
               == R"({"expectRev":[{"key":"k","revision":0}],"remove":["gone"],)"
                  R"("writes":[{"key":"k","lease":5,"value":"bm9kZS0x"}]})");
}

BOOST_AUTO_TEST_CASE(InstancesAndWavesAreDecoded)
{
    const auto page = decodeInstances(machinesText);
    BOOST_REQUIRE(page.ok());
    BOOST_REQUIRE(page->instances.size() == 2U);
    BOOST_TEST(page->instances[0].worker == "i-7");
    BOOST_TEST((page->instances[1].state == FleetInstance::State::Maintenance));
    // A capacity that is not complete is unknown.
    BOOST_TEST(!page->instances[0].capacity.has_value());
    BOOST_REQUIRE(page->instances[1].capacity.has_value());
    BOOST_TEST(page->instances[1].capacity->milliCores == 8000);
    BOOST_TEST(page->instances[1].capacity->memoryMb == 65536);
    BOOST_TEST(page->nextToken == "t");
    const auto wave = decodeWave(waveText);
    BOOST_REQUIRE(wave.ok());
    BOOST_TEST(wave->duration.count() == 20000);
    BOOST_TEST((decodeOrderOutcome({200, "", {}}) == InstanceOrderOutcome::Accepted));
    BOOST_TEST(
            (decodeOrderOutcome({409, R"({"reason":"busy"})", {}}) == InstanceOrderOutcome::Busy));
    BOOST_TEST((decodeOrderOutcome({409, R"({"reason":"wave"})", {}})
                == InstanceOrderOutcome::OtherWave));
    BOOST_TEST((decodeOrderOutcome({429, "", {}}) == InstanceOrderOutcome::NotDone));
    BOOST_TEST(decodeAdmissionResponse(adviceText)->at("i-1") == "ticket");
}

BOOST_AUTO_TEST_CASE(CallerRequestsAreDecoded)
{
    const HttpRequest request{"DELETE",
                              "/a/5c0e7a21d94b36f8?x=1",
                              "",
                              {{"host", "h.example"}, {"dragonflysill-deadline-ms", "250"}}};
    const auto call = decodeCallerRequest(request);
    BOOST_TEST((call.action == CallerRequest::Action::Cancel));
    BOOST_TEST(call.path == "/a/5c0e7a21d94b36f8");
    BOOST_TEST(call.deadline->count() == 250);
    BOOST_TEST(isJobId("5c0e7a21d94b36f8"));
    BOOST_TEST(!isJobId("5c0e7a21d94b36fg"));
    BOOST_TEST(!isJobId("5c0e"));
}

// Truncated, changed or repeated bytes must give an error or a value and never end the process.
BOOST_AUTO_TEST_CASE(CorruptMessagesDoNotCrashTheDecoders)
{
    const std::vector<std::pair<std::string, std::function<bool(const std::string &)>>> decoders{
            {settingsText, [](const auto &it) { return decodeSettings(it).ok(); }},
            {submissionText, [](const auto &it) { return decodeSubmission(it).ok(); }},
            {workerText, [](const auto &it) { return decodeWorker("i", it).ok(); }},
            {reportText, [](const auto &it) { return decodeReport(it).ok(); }},
            {configurationText, [](const auto &it) { return decodeConfiguration(it).ok(); }},
            {changesText, [](const auto &it) { return decodeChanges(it).ok(); }},
            {pageText, [](const auto &it) { return decodePage(it).ok(); }},
            {pageText, [](const auto &it) { return decodeConflict(it).ok(); }},
            {machinesText, [](const auto &it) { return decodeInstances(it).ok(); }},
            {waveText, [](const auto &it) { return decodeWave(it).ok(); }},
            {adviceText, [](const auto &it) { return decodeAdmissionResponse(it).ok(); }},
            {R"({"clockMs":482113})", [](const auto &it) { return decodeClock(it).ok(); }},
            {"5c0e7a21d94b36f8.0.1.17", [](const auto &it) { return decodeTask(it).ok(); }},
            {R"({"key":"a","value":"dg==","revision":7,"lease":3})",
             [](const auto &it) { return decodeItem(it).ok(); }},
            {R"({"clockMs":482113,"reason":"room"})",
             [](const auto &it) {
                 return decodeRefusal(409, it) == StartRefusal::InsufficientCapacity;
             }},
            {"POST /a/5c0e7a21d94b36f8?x=1", [](const auto &it) {
                 return !decodeCallerRequest({"POST", it, it, {{"Host", it}}}).path.empty();
             }}};
    Random random(7);
    for (const auto &[message, decode] : decoders) {
        BOOST_TEST(decode(message));
        for (int n = 0; n < 2000; ++n) {
            decode(test::damaged(message, random));
        }
    }
}

// Guards against runs that lapse because their worker's hold waits behind orders without an answer.
BOOST_AUTO_TEST_CASE(HoldIsSentWhileOrdersToTheWorkerAreUnanswered)
{
    EventLoop loop;
    HttpClient holdClient(loop, {1});
    HttpClient orderClient(loop, {2});
    const std::string address = freeAddress();
    WorkerCalls calls(holdClient, orderClient, 1);
    std::vector<HttpServer::Respond> unanswered;
    HttpServer server(loop, [&](const HttpRequest &request, HttpServer::Respond respond) {
        if (request.target == pathHold)
            respond({200, R"({"clockMs":1,"born":1,"running":[],"ended":[]})", {}});
        else
            unanswered.push_back(std::move(respond));
    });
    BOOST_REQUIRE(server.listen(address).ok());
    for (int n = 0; n < 8; ++n)
        calls.start(address, {"worker", {"job", 0, 0, n}, 1, {}, {}, {}, 0}, 5s,
                    [](const OrderOutcome &) {});
    std::optional<Result<HoldAnswer>> report;
    calls.hold(address, "worker", {}, 0ms, 5s, [&](Result<HoldAnswer> it) {
        report = std::move(it);
        loop.stop();
    });
    loop.run();
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report->ok());
    BOOST_TEST(unanswered.size() == 2U);
}

// Guards against a task that is started elsewhere while its first run is at work: a response that
// is none of the worker's refusals, for example that of an unexpected error, does not mean that the
// order was not carried out.
BOOST_AUTO_TEST_CASE(ResponseThatIsNoRefusalLeavesTheOrderUnanswered)
{
    const std::vector<HttpResponse> responses{{500, "", {}},
                                              {502, "", {}},
                                              {404, "", {}},
                                              {204, "", {}},
                                              {409, "", {}},
                                              {409, R"({"clockMs":1})", {}},
                                              {409, R"({"clockMs":1,"reason":"busy"})", {}}};
    for (const auto &response : responses) {
        EventLoop loop;
        HttpClient client(loop);
        WorkerCalls calls(client, client, 1);
        HttpServer server(loop,
                          [&response](const HttpRequest &, const HttpServer::Respond &respond) {
                              respond(response);
                          });
        const std::string address = freeAddress();
        BOOST_REQUIRE(server.listen(address).ok());
        std::optional<OrderOutcome> outcome;
        calls.start(address, {"worker", {"job", 0, 0, 0}, 1, {}, {}, {}, 0}, 5s,
                    [&](const OrderOutcome &it) {
                        outcome = it;
                        loop.stop();
                    });
        loop.run();
        BOOST_REQUIRE(outcome.has_value());
        BOOST_TEST(std::holds_alternative<OrderUnanswered>(*outcome),
                   response.status << " " << response.body);
    }
}

// A start whose outcome is unknown would hold its task back until a stop of it was confirmed.
BOOST_AUTO_TEST_CASE(OrderWithoutAConnectionIsReportedAsNotSent)
{
    EventLoop loop;
    HttpClient client(loop);
    WorkerCalls calls(client, client, 1);
    const std::string closedAddress = freeAddress();
    std::optional<OrderOutcome> outcome;
    calls.start(closedAddress, {"worker", {"job", 0, 0, 0}, 1, {}, {}, {}, 0}, 5s,
                [&](const OrderOutcome &it) {
                    outcome = it;
                    loop.stop();
                });
    loop.run();
    BOOST_REQUIRE(outcome.has_value());
    BOOST_REQUIRE(std::holds_alternative<StartRefusal>(*outcome));
    BOOST_TEST((std::get<StartRefusal>(*outcome) == StartRefusal::NotSent));
}

// Guards against a use after free: the ownership may end, and destroy the client, while the pages
// of a list are being read.
BOOST_AUTO_TEST_CASE(ListStopsWhenItsClientIsDestroyed)
{
    EventLoop loop;
    HttpClient client(loop);
    const std::string address = freeAddress();
    auto calls = std::make_unique<MachineCalls>(client, address, OrderAuthority{"node", 1});
    int pages = 0;
    HttpServer server(loop, [&](const HttpRequest &, const HttpServer::Respond &respond) {
        ++pages;
        calls.reset();
        loop.after(20ms, [&loop] { loop.stop(); });
        respond({200, R"({"machines":[],"nextToken":"more"})", {}});
    });
    BOOST_REQUIRE(server.listen(address).ok());
    bool called = false;
    calls->list(1s, [&](const Result<std::vector<FleetInstance>> &) { called = true; });
    loop.run();
    BOOST_TEST(pages == 1);
    BOOST_TEST(!called);
}

// Guards against an owner that reads pages for ever, until its memory is used up, and does not
// notice the instances that are down.
BOOST_AUTO_TEST_CASE(ListEndsIfItsPagesDoNot)
{
    // With the same token, with two in turn, and with a new one each time.
    for (const int tokens : {1, 2, 1'000'000}) {
        EventLoop loop;
        HttpClient client(loop);
        const std::string address = freeAddress();
        MachineCalls calls(client, address, OrderAuthority{"node", 1});
        int pages = 0;
        HttpServer server(loop, [&](const HttpRequest &, const HttpServer::Respond &respond) {
            const auto token = std::to_string(pages++ % tokens);
            if (pages > 5000)
                loop.stop();
            respond({200, R"({"machines":[],"nextToken":")" + token + "\"}", {}});
        });
        BOOST_REQUIRE(server.listen(address).ok());
        std::optional<Result<std::vector<FleetInstance>>> list;
        calls.list(5s, [&](Result<std::vector<FleetInstance>> it) {
            list = std::move(it);
            loop.stop();
        });
        loop.run();
        BOOST_REQUIRE(list.has_value());
        BOOST_TEST(list->error().is(ErrorKind::Corrupt));
        BOOST_TEST(pages <= 1000);
    }
}

BOOST_AUTO_TEST_SUITE_END()
