#include "dragonflysill/peers/codec.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <string>
#include <vector>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

const TaskId task{"0123456789abCDEF", 2, 1, 17};

/** Returns a batch with one message of each kind. */
PeerBatch everyMessage()
{
    PeerBatch batch;
    batch.sentMs = 123456;
    batch.fence = 42;
    batch.requests = {
            {1, StatusQuery{task.job, 150ms}},
            {2, PendingQuery{"queue"}},
            {3, DelegatedStart{{"w", task, 1001, "payload", "check", "ticket", 9000, 1790000000001},
                               "a:1",
                               500ms}},
            {4, DelegatedStop{{"w", task, 1001}, "a:1", 501ms}},
            {5, DelegatedPace{{"v", task, 1001, 40}, "a:2", 502ms}},
            {6, DelegatedHold{{"w", "a:1"}, {7777, 12, 1790000000002}, 800ms, 503ms, false}},
            {15, DelegatedHold{{"v", "a:2"}, {}, 800ms, 503ms, true}}};
    batch.requests.push_back({noCall, StoredKey{"key", "value", 5}});
    WorkerReport report;
    report.startedMs = 5;
    report.clock = 6;
    report.runningListed = false;
    report.running = {{task, 3, "saved", 41, 2.5}, {task, 4, {}, 100, std::nullopt}};
    report.ended = {{9, task, 2, RunEnd::Failed, "other"}};
    batch.answers = {{7, StatusAnswer{JobStatus::Failed, "team"}},
                     {8, StatusAnswer{}},
                     {9, PendingAnswer{3}},
                     {10, PendingAnswer{}},
                     {11, OrderConfirmed{88}},
                     {12, StartRefusal::InsufficientCapacity},
                     {13, report},
                     {14, Error(ErrorKind::OutcomeUnknown, "lost")}};
    return batch;
}

/** Returns a start and a hold for any incarnation of a worker. */
PeerBatch callsForAnyIncarnation()
{
    PeerBatch batch;
    batch.sentMs = 123456;
    batch.fence = 42;
    batch.requests
            = {{1, DelegatedStart{{"w", {"job", 0, 0, 1}, 1001, "p", "c", {}, 9000}, "a:1", 500ms}},
               {2, DelegatedHold{{"w", "a:1"}, {7777, 12}, 800ms, 503ms, false}}};
    return batch;
}

/** Returns callsForAnyIncarnation() as encoded by the version before incarnations were added. */
std::string callsOfAnEarlierVersion()
{
    const std::string digits
            = "300000000000000028002c000400180020000800000000000c000000000010000000000000000000"
              "000000000000140028000000010000006000000054000000240000001800000040e2010000000000"
              "2a000000000000000000000001000000a0000000010000000200000000000000f701000020030000"
              "0c00000000000000611e000000000000010000000000000001000000200000000100000080000000"
              "14003c000400000008000c00280034002c0030001400000001000000f40100006a6f620000000000"
              "0000000000000000000000000000010000000000e9030000010000000c0000002823000000000000"
              "010000006300000008000c00040008000800000001000000040000000100000070000a000c000000"
              "040008000a000000080000000c000000010000007700000003000000613a3100";
    std::string bytes;
    for (std::size_t n = 0; n < digits.size(); n += 2)
        bytes += static_cast<char>(std::stoi(digits.substr(n, 2), nullptr, 16));
    return bytes;
}

template <typename Message, typename Variant>
const Message &messageOf(const std::vector<Numbered<Variant>> &messages, std::uint32_t call)
{
    const auto it = std::ranges::find(messages, call, &Numbered<Variant>::call);
    BOOST_REQUIRE(it != messages.end());
    return std::get<Message>(it->message);
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerCodec)

BOOST_AUTO_TEST_CASE(RequestsAreDecodedAsTheyWereEncoded)
{
    PeerEncoder encoder;
    PeerDecoder decoder;
    const auto decoded = decoder.decode(encoder.encode(everyMessage()));
    BOOST_REQUIRE(decoded.ok());
    const auto &batch = *decoded;
    BOOST_TEST(batch.sentMs == 123456);
    BOOST_TEST(batch.fence == 42);
    BOOST_TEST(messageOf<StatusQuery>(batch.requests, 1).job == task.job);
    BOOST_TEST((messageOf<StatusQuery>(batch.requests, 1).wait == 150ms));
    BOOST_TEST(messageOf<PendingQuery>(batch.requests, 2).queue == "queue");
    const auto &stored = messageOf<StoredKey>(batch.requests, noCall);
    BOOST_TEST(stored.key == "key");
    BOOST_TEST(stored.value == "value");
    BOOST_TEST(stored.revision == 5);
    const auto &start = messageOf<DelegatedStart>(batch.requests, 3);
    BOOST_TEST(start.order.worker == "w");
    BOOST_TEST(start.address == "a:1");
    BOOST_TEST((start.order.task == task));
    BOOST_TEST(start.order.run == 1001);
    BOOST_TEST(start.order.payload == "payload");
    BOOST_TEST(start.order.checkpoint == "check");
    BOOST_TEST(start.order.ticket == "ticket");
    BOOST_TEST(start.order.holdUntil == 9000);
    BOOST_TEST(start.order.startedMs == 1790000000001);
    BOOST_TEST((start.timeout == 500ms));
    BOOST_TEST((messageOf<DelegatedStop>(batch.requests, 4).order.task == task));
    const auto &pace = messageOf<DelegatedPace>(batch.requests, 5);
    BOOST_TEST(pace.order.worker == "v");
    BOOST_TEST(pace.address == "a:2");
    BOOST_TEST(pace.order.percent == 40);
    const auto &hold = messageOf<DelegatedHold>(batch.requests, 6);
    BOOST_TEST(hold.worker.id == "w");
    BOOST_TEST(*hold.request.holdUntil == 7777);
    BOOST_TEST(hold.request.acknowledgedEnds == 12);
    BOOST_TEST(hold.request.startedMs == 1790000000002);
    BOOST_TEST((hold.wait == 800ms));
    BOOST_TEST((hold.timeout == 503ms));
    BOOST_TEST(!hold.listRunning);
    BOOST_TEST(messageOf<DelegatedHold>(batch.requests, 15).request.startedMs == 0);
}

BOOST_AUTO_TEST_CASE(AnswersAreDecodedAsTheyWereEncoded)
{
    PeerEncoder encoder;
    PeerDecoder decoder;
    const auto decoded = decoder.decode(encoder.encode(everyMessage()));
    BOOST_REQUIRE(decoded.ok());
    const auto &answers = decoded->answers;
    BOOST_TEST((*messageOf<StatusAnswer>(answers, 7).status == JobStatus::Failed));
    BOOST_TEST(*messageOf<StatusAnswer>(answers, 7).team == "team");
    BOOST_TEST(!messageOf<StatusAnswer>(answers, 8).status.has_value());
    BOOST_TEST(!messageOf<StatusAnswer>(answers, 8).team.has_value());
    BOOST_TEST(*messageOf<PendingAnswer>(answers, 9).count == 3);
    BOOST_TEST(!messageOf<PendingAnswer>(answers, 10).count.has_value());
    BOOST_TEST(messageOf<OrderConfirmed>(answers, 11).clock == 88);
    BOOST_TEST((messageOf<StartRefusal>(answers, 12) == StartRefusal::InsufficientCapacity));
    const auto &report = messageOf<WorkerReport>(answers, 13);
    BOOST_TEST(report.startedMs == 5);
    BOOST_TEST(report.clock == 6);
    BOOST_TEST(!report.runningListed);
    BOOST_REQUIRE(report.running.size() == 2U);
    BOOST_TEST((report.running[0].task == task));
    BOOST_TEST(report.running[0].checkpoint == "saved");
    BOOST_TEST(report.running[0].percent == 41);
    BOOST_TEST(*report.running[0].usage == 2.5);
    BOOST_TEST(report.running[1].checkpoint.empty());
    BOOST_TEST(!report.running[1].usage.has_value());
    BOOST_REQUIRE(report.ended.size() == 1U);
    BOOST_TEST(report.ended[0].number == 9);
    BOOST_TEST((report.ended[0].end == RunEnd::Failed));
    BOOST_TEST(report.ended[0].checkpoint == "other");
    const auto &error = messageOf<Error>(answers, 14);
    BOOST_TEST(error.is(ErrorKind::OutcomeUnknown));
    BOOST_TEST(error.detail == "lost");
}

// Guards against orders that are refused while nodes of two versions run: a batch of the version
// before names no incarnation, and its calls are for any.
BOOST_AUTO_TEST_CASE(CallsOfAnEarlierVersionAreForAnyIncarnation)
{
    PeerDecoder decoder;
    const auto decoded = decoder.decode(callsOfAnEarlierVersion());
    BOOST_REQUIRE(decoded.ok());
    const auto &start = messageOf<DelegatedStart>(decoded->requests, 1);
    BOOST_TEST(start.order.worker == "w");
    BOOST_TEST(start.order.payload == "p");
    BOOST_TEST(start.order.holdUntil == 9000);
    BOOST_TEST(start.order.startedMs == 0);
    const auto &hold = messageOf<DelegatedHold>(decoded->requests, 2);
    BOOST_TEST(*hold.request.holdUntil == 7777);
    BOOST_TEST(hold.request.acknowledgedEnds == 12);
    BOOST_TEST(hold.request.startedMs == 0);
}

// Guards against a changed layout of the messages, which the version before would misread.
BOOST_AUTO_TEST_CASE(CallsForAnyIncarnationAreEncodedAsByTheEarlierVersion)
{
    PeerEncoder encoder;
    BOOST_TEST(encoder.encode(callsForAnyIncarnation()) == callsOfAnEarlierVersion());
}

BOOST_AUTO_TEST_CASE(WorkersAreNamedOnceOnAConnection)
{
    PeerEncoder encoder;
    PeerDecoder decoder;
    const auto first = encoder.encode(everyMessage());
    const auto second = encoder.encode(everyMessage());
    BOOST_TEST(second.size() < first.size());
    BOOST_REQUIRE(decoder.decode(first).ok());
    const auto decoded = decoder.decode(second);
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST(messageOf<DelegatedStart>(decoded->requests, 3).order.worker == "w");
}

// A job's payload may be kilobytes long, and its tasks start on many workers.
BOOST_AUTO_TEST_CASE(PayloadOfAJobIsSentOnceOnAConnection)
{
    PeerEncoder encoder;
    PeerDecoder decoder;
    const auto batchOf = [](const std::string &job, std::uint32_t call) {
        PeerBatch batch;
        batch.requests
                = {{call, DelegatedStart{{"w", {job, 0, 0, 0}, 1, "payload of " + job, {}, {}, 9},
                                         "a:1",
                                         500ms}}};
        return batch;
    };
    const auto payloadOf = [&](const std::string &job, std::uint32_t call) {
        const auto decoded = decoder.decode(encoder.encode(batchOf(job, call)));
        BOOST_REQUIRE(decoded.ok());
        return messageOf<DelegatedStart>(decoded->requests, call).order.payload;
    };
    BOOST_TEST(payloadOf("first", 1) == "payload of first");
    BOOST_TEST(payloadOf("first", 2) == "payload of first");
    BOOST_TEST(encoder.encode(batchOf("first", 3)).find("payload of first") == std::string::npos);
    // Many other jobs push it out of what both sides keep.
    for (int n = 0; n < 10000; ++n) {
        const auto job = "job-" + std::to_string(n);
        BOOST_REQUIRE(payloadOf(job, 4) == "payload of " + job);
    }
    BOOST_TEST(payloadOf("first", 5) == "payload of first");
}

// Guards against orders to a worker that the sender did not mean: a decoder that has missed a batch
// does not know what the numbers of the next one stand for.
BOOST_AUTO_TEST_CASE(BatchWithUnknownWorkerNumberIsCorrupt)
{
    PeerEncoder encoder;
    PeerDecoder decoder;
    encoder.encode(everyMessage());
    const auto decoded = decoder.decode(encoder.encode(everyMessage()));
    BOOST_REQUIRE(!decoded.ok());
    BOOST_TEST(decoded.error().is(ErrorKind::Corrupt));
}

// One malformed frame must neither end the process nor be taken for another message kind.
RC_BOOST_PROP(DamagedBatchesAreRefusedOrDecoded, ())
{
    PeerEncoder encoder;
    auto bytes = encoder.encode(everyMessage());
    const auto damages = *rc::gen::inRange(1, 8);
    for (int n = 0; n < damages; ++n)
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    if (*rc::gen::arbitrary<bool>())
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
    PeerDecoder decoder;
    const auto decoded = decoder.decode(bytes);
    const bool handled = decoded.ok() || decoded.error().is(ErrorKind::Corrupt);
    RC_ASSERT(handled);
}

BOOST_AUTO_TEST_SUITE_END()
