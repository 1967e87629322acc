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

BOOST_FIXTURE_TEST_SUITE(TicketAcceptance, TicketFixture)

// Guards against writing only some of the keys of an accepted ticket.
BOOST_AUTO_TEST_CASE(WritesAllKeysOfATicketAtOneRevision)
{
    const auto outcome = processor.accept(poolTicket("t1", 0, "depot").dump(), 0);
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
    const auto first = accepted(processor.accept(text, 0));
    nowMs += 5000;
    const auto again = accepted(processor.accept(text, 1));
    BOOST_TEST(again.number == first.number);
    BOOST_TEST(again.acceptedMs == first.acceptedMs);
    BOOST_TEST(again.revision == first.revision);
    BOOST_TEST(again.repeated);
}

// Guards against treating a different ticket with an already accepted id as a repetition.
BOOST_AUTO_TEST_CASE(SameIdWithOtherContentIsRefused)
{
    accepted(processor.accept(poolTicket("t1", 0, "depot", 4).dump(), 0));
    refused(processor.accept(poolTicket("t1", 0, "depot", 5).dump(), 1), ErrorKind::IdReused);
}

// Guards against a lost update: of two concurrent tickets for one object, the later is refused.
BOOST_AUTO_TEST_CASE(RacingTicketsHaveOneWinnerAndOneConflict)
{
    accepted(processor.accept(poolTicket("t1", 0, "depot").dump(), 0));
    Fence otherFence;
    otherFence.set(memberKey, fence.compare()->revision);
    TicketProcessor other(store, otherFence, settings("c2"));
    store.beforeWrite
            = [&] { accepted(other.accept(poolTicket("winner", 1, "depot", 5).dump(), 1)); };
    const auto outcome = processor.accept(poolTicket("loser", 1, "depot", 6).dump(), 1);
    const auto refusal = refused(outcome, ErrorKind::Conflict);
    BOOST_REQUIRE(refusal.conflicts.size() == 1U);
    BOOST_TEST(refusal.conflicts[0].ticket == 2);
    BOOST_TEST(refusal.conflicts[0].ticketId == "winner");
    BOOST_TEST(refusal.conflicts[0].pointer == "/pools/0");
}

// Guards against refusing a ticket only because an unrelated ticket was accepted first.
BOOST_AUTO_TEST_CASE(RetriesAfterAnUnrelatedTicket)
{
    store.beforeWrite = [&] { accepted(processor.accept(poolTicket("t1", 0, "depot").dump(), 0)); };
    const auto outcome = processor.accept(poolTicket("t2", 0, "tubes", 4, 2).dump(), 0);
    BOOST_TEST(accepted(outcome).number == 2);
}

// Guards against a retry without validation: another ticket has taken the instance meanwhile.
BOOST_AUTO_TEST_CASE(ValidatesAgainAfterAnotherTicket)
{
    store.beforeWrite = [&] { accepted(processor.accept(poolTicket("t1", 0, "depot").dump(), 0)); };
    auto ticket = poolTicket("t2", 0, "tubes", 4, 2);
    ticket["pools"][0]["instances"][0]["name"] = "depot-1";
    const auto refusal = refused(processor.accept(ticket.dump(), 0), ErrorKind::ValidationFailed);
    BOOST_REQUIRE(refusal.problems.size() == 1U);
    BOOST_TEST(refusal.problems[0].pointer == "/pools/0/instances/0/name");
}

// Guards against endless retries while other tickets are accepted first each time.
BOOST_AUTO_TEST_CASE(RefusesAfterABoundedNumberOfAttempts)
{
    int attempts = 0;
    std::function<void()> acceptOtherTicket = [&] {
        ++attempts;
        put(std::string(storekeys::latestTicket), R"({"number":1,"id":"x"})");
        store.beforeWrite = acceptOtherTicket;
    };
    store.beforeWrite = acceptOtherTicket;
    refused(processor.accept(poolTicket("t2", 0, "depot").dump(), 0), ErrorKind::LimitExceeded);
    BOOST_TEST(attempts == TicketProcessor::attemptLimit);
}

// Guards against a ticket with an old base that recreates an object that was deleted since.
BOOST_AUTO_TEST_CASE(RecreationOfADeletedObjectIsAConflict)
{
    accepted(processor.accept(poolTicket("t1", 0, "depot").dump(), 0));
    auto deletion = ticketJson("t2", 1);
    deletion["pools"] = {{{"name", "depot"}, {"delete", true}}};
    accepted(processor.accept(deletion.dump(), 1));
    const auto outcome = processor.accept(poolTicket("t3", 1, "depot", 5).dump(), 2);
    const auto refusal = refused(outcome, ErrorKind::Conflict);
    BOOST_REQUIRE(refusal.conflicts.size() == 1U);
    BOOST_TEST(refusal.conflicts[0].ticket == 2);
    accepted(processor.accept(poolTicket("t4", 2, "depot", 5).dump(), 2));
}

// Guards against writes of a process whose lease expired, for example during a pause.
BOOST_AUTO_TEST_CASE(ProcessWithoutRegistrationWritesNothing)
{
    fence.clear();
    refused(processor.accept(poolTicket("t1", 0, "depot").dump(), 0), ErrorKind::LeaseLost);
    fence.set(memberKey, 999);
    refused(processor.accept(poolTicket("t1", 0, "depot").dump(), 0), ErrorKind::LeaseLost);
    BOOST_TEST(store.range({std::string(storekeys::latestTicket), {}})->keyValues.empty());
}

// Guards against assigning a ticket number twice after the store was restored from an older state.
BOOST_AUTO_TEST_CASE(RefusesAStoreOlderThanTheView)
{
    refused(processor.accept(poolTicket("t1", 0, "depot").dump(), 5), ErrorKind::StoreRegressed);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(LostStoreAnswers, TicketFixture)

// Guards against reporting a failure for a ticket that was accepted.
BOOST_AUTO_TEST_CASE(AnswerLostAfterTheWriteIsReadBack)
{
    store.beforeWrite = [&] {
        StoreFaults faults;
        faults.loseAnswers = 1;
        store.store.setFaults(faults);
    };
    const auto ticket = accepted(processor.accept(poolTicket("t1", 0, "depot").dump(), 0));
    BOOST_TEST(ticket.number == 1);
    BOOST_TEST(!ticket.repeated);
}

// Guards against losing a ticket whose first request to the store was lost.
BOOST_AUTO_TEST_CASE(LostRequestIsRepeated)
{
    store.beforeWrite = [&] {
        StoreFaults faults;
        faults.loseRequests = 2;
        store.store.setFaults(faults);
    };
    BOOST_TEST(accepted(processor.accept(poolTicket("t1", 0, "depot").dump(), 0)).number == 1);
}

// Guards against reporting that nothing was written after a write that may have taken effect.
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
    refused(processor.accept(text, 0), ErrorKind::OutcomeUnknown);
    onPause = nullptr;
    store.store.setFaults({});
    BOOST_TEST(accepted(processor.accept(text, 0)).repeated);
}

// Guards against reporting an unknown outcome when only a read has timed out.
BOOST_AUTO_TEST_CASE(OutageBeforeTheWriteIsNotUnknown)
{
    StoreFaults faults;
    faults.down = true;
    store.store.setFaults(faults);
    refused(processor.accept(poolTicket("t1", 0, "depot").dump(), 0), ErrorKind::StoreUnavailable);
}

// Guards against treating an answer to a write that cannot be decoded as a failure.
BOOST_AUTO_TEST_CASE(CorruptAnswerToTheWriteIsReadBack)
{
    store.beforeWrite = [&] {
        StoreFaults faults;
        faults.corruptAnswers = 1;
        store.store.setFaults(faults);
    };
    BOOST_TEST(accepted(processor.accept(poolTicket("t1", 0, "depot").dump(), 0)).number == 1);
}

// Guards against accepting a ticket when the current state cannot be decoded.
BOOST_AUTO_TEST_CASE(CorruptStoredValuesAreReported)
{
    for (const std::string &key :
         {std::string(storekeys::latestTicket), storekeys::join(storekeys::pools, "x"),
          storekeys::join(storekeys::ticketIds, "t1")}) {
        put(key, "\xff{garbage");
        refused(processor.accept(poolTicket("t1", 0, "depot").dump(), 0), ErrorKind::Corrupt);
        Transaction removal;
        removal.success = {DeleteOperation{key, {}}};
        store.commit(removal);
    }
    put(storekeys::ticket(1), "[]");
    BOOST_TEST(processor.ticket(1).error().is(ErrorKind::Corrupt));
    BOOST_TEST(processor.ticket(2).error().is(ErrorKind::NotFound));
    BOOST_TEST(processor.ticket(-1).error().is(ErrorKind::NotFound));
}

BOOST_AUTO_TEST_SUITE_END()
