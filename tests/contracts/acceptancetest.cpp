#include "ticketfixture.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <variant>

using namespace dragonflysill;
using namespace dragonflysill::support;

namespace {

AcceptedTicket accepted(const AcceptanceOutcome &outcome)
{
    BOOST_REQUIRE_MESSAGE(std::holds_alternative<AcceptedTicket>(outcome),
                          "expected an acceptance, got " << outcomeToJson(outcome).dump());
    return std::get<AcceptedTicket>(outcome);
}

TicketRefusal refused(const AcceptanceOutcome &outcome, ErrorKind kind)
{
    BOOST_REQUIRE_MESSAGE(std::holds_alternative<TicketRefusal>(outcome),
                          "expected a refusal, got " << outcomeToJson(outcome).dump());
    const auto &refusal = std::get<TicketRefusal>(outcome);
    BOOST_TEST(refusal.error.is(kind), "expected " << errorName(make_error_code(kind)) << ", got "
                                                   << outcomeToJson(outcome).dump());
    return refusal;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(TicketAcceptance, DeskFixture)

// Guards against a ticket that is accepted without all of its keys.
BOOST_AUTO_TEST_CASE(WritesHeadRecordIdAndObjectsAtOneRevision)
{
    const auto outcome = desk.accept(poolTicket("t1", 0, "depot").dump(), 0);
    const auto ticket = accepted(outcome);
    BOOST_TEST(ticket.number == 1);
    for (const std::string &key : {std::string(storekeys::latestTicket), storekeys::ticket(1),
                                   storekeys::join(storekeys::ticketIds, "t1"),
                                   storekeys::join(storekeys::pools, "depot")}) {
        const auto found = store.range({key, {}});
        BOOST_REQUIRE(found->keyValues.size() == 1U);
        BOOST_TEST(found->keyValues[0].modRevision == ticket.revision);
    }
}

// Guards against a repeated ticket that is accepted twice or refused.
BOOST_AUTO_TEST_CASE(RepeatedTicketReturnsTheFirstAcceptance)
{
    const std::string text = poolTicket("t1", 0, "depot").dump();
    const auto first = accepted(desk.accept(text, 0));
    nowMs += 5000;
    const auto again = accepted(desk.accept(text, 1));
    BOOST_TEST(again.number == first.number);
    BOOST_TEST(again.acceptedMs == first.acceptedMs);
    BOOST_TEST(again.revision == first.revision);
    BOOST_TEST(again.repeated);
}

// Guards against a second ticket that hides behind an accepted id.
BOOST_AUTO_TEST_CASE(SameIdWithOtherContentIsRefused)
{
    accepted(desk.accept(poolTicket("t1", 0, "depot", 4).dump(), 0));
    refused(desk.accept(poolTicket("t1", 0, "depot", 5).dump(), 1), ErrorKind::IdReused);
}

// Guards against a lost update: the later of two tickets for one object must not overwrite.
BOOST_AUTO_TEST_CASE(RacingTicketsHaveOneWinnerAndOneConflict)
{
    accepted(desk.accept(poolTicket("t1", 0, "depot").dump(), 0));
    Fence otherFence;
    otherFence.set(memberKey, fence.compare()->revision);
    TicketProcessor other(store, otherFence, settings("c2"));
    store.beforeWrite
            = [&] { accepted(other.accept(poolTicket("winner", 1, "depot", 5).dump(), 1)); };
    const auto outcome = desk.accept(poolTicket("loser", 1, "depot", 6).dump(), 1);
    const auto refusal = refused(outcome, ErrorKind::Conflict);
    BOOST_REQUIRE(refusal.conflicts.size() == 1U);
    BOOST_TEST(refusal.conflicts[0].ticket == 2);
    BOOST_TEST(refusal.conflicts[0].ticketId == "winner");
    BOOST_TEST(refusal.conflicts[0].pointer == "/pools/0");
}

// Guards against a ticket that is refused only because an unrelated one was faster.
BOOST_AUTO_TEST_CASE(RetriesWhenOnlyTheHeadMoved)
{
    store.beforeWrite = [&] { accepted(desk.accept(poolTicket("t1", 0, "depot").dump(), 0)); };
    const auto outcome = desk.accept(poolTicket("t2", 0, "tubes", 4, 2).dump(), 0);
    BOOST_TEST(accepted(outcome).number == 2);
}

// Guards against a retry that skips validation: the instance has meanwhile gone to another pool.
BOOST_AUTO_TEST_CASE(ValidatesAgainAfterTheHeadMoved)
{
    store.beforeWrite = [&] { accepted(desk.accept(poolTicket("t1", 0, "depot").dump(), 0)); };
    auto ticket = poolTicket("t2", 0, "tubes", 4, 2);
    ticket["pools"][0]["instances"][0]["name"] = "depot-1";
    const auto refusal = refused(desk.accept(ticket.dump(), 0), ErrorKind::ValidationFailed);
    BOOST_REQUIRE(refusal.problems.size() == 1U);
    BOOST_TEST(refusal.problems[0].pointer == "/pools/0/instances/0/name");
}

// Guards against an endless fight for the head.
BOOST_AUTO_TEST_CASE(GivesUpAfterABoundedNumberOfRounds)
{
    int round = 0;
    std::function<void()> moveHead = [&] {
        ++round;
        put(std::string(storekeys::latestTicket), R"({"number":1,"id":"x"})");
        store.beforeWrite = moveHead;
    };
    store.beforeWrite = moveHead;
    refused(desk.accept(poolTicket("t2", 0, "depot").dump(), 0), ErrorKind::LimitExceeded);
    BOOST_TEST(round == TicketProcessor::attemptLimit);
}

// Guards against an object that a stale ticket brings back after its deletion.
BOOST_AUTO_TEST_CASE(RecreationOfADeletedObjectIsAConflict)
{
    accepted(desk.accept(poolTicket("t1", 0, "depot").dump(), 0));
    auto deletion = ticketJson("t2", 1);
    deletion["pools"] = {{{"name", "depot"}, {"delete", true}}};
    accepted(desk.accept(deletion.dump(), 1));
    const auto outcome = desk.accept(poolTicket("t3", 1, "depot", 5).dump(), 2);
    const auto refusal = refused(outcome, ErrorKind::Conflict);
    BOOST_REQUIRE(refusal.conflicts.size() == 1U);
    BOOST_TEST(refusal.conflicts[0].ticket == 2);
    accepted(desk.accept(poolTicket("t4", 2, "depot", 5).dump(), 2));
}

// Guards against a write of a process whose lease ended while it was paused.
BOOST_AUTO_TEST_CASE(ProcessWithoutRegistrationWritesNothing)
{
    fence.clear();
    refused(desk.accept(poolTicket("t1", 0, "depot").dump(), 0), ErrorKind::LeaseLost);
    fence.set(memberKey, 999);
    refused(desk.accept(poolTicket("t1", 0, "depot").dump(), 0), ErrorKind::LeaseLost);
    BOOST_TEST(store.range({std::string(storekeys::latestTicket), {}})->keyValues.empty());
}

// Guards against a store that was restored from an old state and would get a second ticket 6.
BOOST_AUTO_TEST_CASE(RefusesAStoreOlderThanTheView)
{
    refused(desk.accept(poolTicket("t1", 0, "depot").dump(), 5), ErrorKind::StoreRegressed);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(LostStoreAnswers, DeskFixture)

// Guards against reporting a failure for a ticket that was accepted.
BOOST_AUTO_TEST_CASE(AnswerLostAfterTheWriteIsReadBack)
{
    store.beforeWrite = [&] {
        StoreFaults faults;
        faults.loseAnswers = 1;
        store.store.setFaults(faults);
    };
    const auto ticket = accepted(desk.accept(poolTicket("t1", 0, "depot").dump(), 0));
    BOOST_TEST(ticket.number == 1);
    BOOST_TEST(!ticket.repeated);
}

// Guards against a ticket that is dropped because its first request never arrived.
BOOST_AUTO_TEST_CASE(LostRequestIsRepeated)
{
    store.beforeWrite = [&] {
        StoreFaults faults;
        faults.loseRequests = 2;
        store.store.setFaults(faults);
    };
    BOOST_TEST(accepted(desk.accept(poolTicket("t1", 0, "depot").dump(), 0)).number == 1);
}

// Guards against "store unavailable, nothing was written" after a write that may have happened.
BOOST_AUTO_TEST_CASE(OutageAfterALostAnswerStaysUnknown)
{
    store.beforeWrite = [&] {
        StoreFaults faults;
        faults.loseAnswers = 1;
        store.store.setFaults(faults);
    };
    onPause = [&] {
        StoreFaults faults;
        faults.down = true;
        store.store.setFaults(faults);
    };
    const std::string text = poolTicket("t1", 0, "depot").dump();
    refused(desk.accept(text, 0), ErrorKind::OutcomeUnknown);
    onPause = nullptr;
    store.store.setFaults({});
    BOOST_TEST(accepted(desk.accept(text, 0)).repeated);
}

// Guards against a read that times out and is reported as a possible acceptance.
BOOST_AUTO_TEST_CASE(OutageBeforeTheWriteIsNotUnknown)
{
    StoreFaults faults;
    faults.down = true;
    store.store.setFaults(faults);
    refused(desk.accept(poolTicket("t1", 0, "depot").dump(), 0), ErrorKind::StoreUnavailable);
}

// Guards against an undecodable answer to a write that is taken for a failure.
BOOST_AUTO_TEST_CASE(GarbledAnswerToTheWriteIsReadBack)
{
    store.beforeWrite = [&] {
        StoreFaults faults;
        faults.corruptAnswers = 1;
        store.store.setFaults(faults);
    };
    BOOST_TEST(accepted(desk.accept(poolTicket("t1", 0, "depot").dump(), 0)).number == 1);
}

// Guards against acceptance on top of a state that cannot be read.
BOOST_AUTO_TEST_CASE(GarbageInTheStoreIsATypedError)
{
    for (const std::string &key :
         {std::string(storekeys::latestTicket), storekeys::join(storekeys::pools, "x"),
          storekeys::join(storekeys::ticketIds, "t1")}) {
        put(key, "\xff{garbage");
        refused(desk.accept(poolTicket("t1", 0, "depot").dump(), 0), ErrorKind::Corrupt);
        Transaction removal;
        removal.success = {DeleteOperation{key, {}}};
        store.commit(removal);
    }
    put(storekeys::ticket(1), "[]");
    BOOST_TEST(desk.ticket(1).error().is(ErrorKind::Corrupt));
    BOOST_TEST(desk.ticket(2).error().is(ErrorKind::NotFound));
    BOOST_TEST(desk.ticket(-1).error().is(ErrorKind::NotFound));
}

BOOST_AUTO_TEST_SUITE_END()
