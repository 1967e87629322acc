#include "dragonflysill/jobs/orderattempts.h"
#include "dragonflysill/base/random.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <variant>

using namespace dragonflysill;

namespace {

const OrderOutcome confirmed = OrderConfirmed{5};
const OrderOutcome noRoom = StartRefusal::InsufficientCapacity;
const OrderOutcome notSent = StartRefusal::NotSent;
const OrderOutcome unanswered = OrderUnanswered{"timeout"};

bool isUnanswered(const std::optional<OrderOutcome> &outcome)
{
    return outcome && std::holds_alternative<OrderUnanswered>(*outcome);
}

bool isRefusal(const std::optional<OrderOutcome> &outcome, StartRefusal refusal)
{
    return outcome && std::holds_alternative<StartRefusal>(*outcome)
           && std::get<StartRefusal>(*outcome) == refusal;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CopiesOfAnOrder)

BOOST_AUTO_TEST_CASE(OneConfirmationDecides)
{
    OrderAttempts order;
    order.copySent();
    order.copySent();
    const auto outcome = order.copyAnswered(confirmed);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST(std::holds_alternative<OrderConfirmed>(*outcome));
    BOOST_TEST(!order.mayRepeat());
    BOOST_TEST(!order.copyAnswered(unanswered).has_value());
}

BOOST_AUTO_TEST_CASE(RefusalOfTheOnlyCopyDecides)
{
    OrderAttempts order;
    order.copySent();
    BOOST_TEST(isRefusal(order.copyAnswered(noRoom), StartRefusal::InsufficientCapacity));
    BOOST_TEST(!order.mayRepeat());
}

// Guards against a task that is started elsewhere while a copy of its order is still on the way:
// the first copy may be held up for seconds and find room by then.
BOOST_AUTO_TEST_CASE(RefusalDoesNotDecideWhileAnotherCopyMayBeCarriedOut)
{
    OrderAttempts order;
    order.copySent();
    order.copySent();
    BOOST_TEST(!order.copyAnswered(noRoom).has_value());
    BOOST_TEST(isUnanswered(order.copyAnswered(unanswered)));
}

// Guards against an order that is given up with the first connection that fails: each order to a
// worker behind several such connections is lost, and its task waits for a stop to get through.
BOOST_AUTO_TEST_CASE(CopyThatFailsAtOnceLeavesTheOthers)
{
    OrderAttempts order;
    order.copySent();
    BOOST_TEST(!order.copyAnswered(unanswered).has_value());
    BOOST_REQUIRE(order.mayRepeat());
    order.copySent();
    BOOST_TEST(!order.copyAnswered(unanswered).has_value());
    order.copySent();
    BOOST_TEST(isUnanswered(order.copyAnswered(unanswered)));
}

// An order that must not be repeated is decided by its only copy.
BOOST_AUTO_TEST_CASE(OnlyCopyThatIsAllowedDecides)
{
    OrderAttempts order(1);
    order.copySent();
    BOOST_TEST(!order.mayRepeat());
    BOOST_TEST(isUnanswered(order.copyAnswered(unanswered)));
}

// A worker that cannot be reached any more is not tried again for the copy that was lost.
BOOST_AUTO_TEST_CASE(RefusalAfterALostCopyDecides)
{
    OrderAttempts order;
    order.copySent();
    BOOST_TEST(!order.copyAnswered(unanswered).has_value());
    order.copySent();
    BOOST_TEST(isUnanswered(order.copyAnswered(notSent)));
}

BOOST_AUTO_TEST_CASE(OrderIsRefusedIfAllCopiesAre)
{
    OrderAttempts order;
    order.copySent();
    order.copySent();
    BOOST_TEST(!order.copyAnswered(noRoom).has_value());
    BOOST_TEST(isRefusal(order.copyAnswered(notSent), StartRefusal::InsufficientCapacity));
}

BOOST_AUTO_TEST_CASE(NumberOfCopiesIsLimited)
{
    OrderAttempts order;
    for (int n = 0; n < OrderAttempts::maxCopies; ++n) {
        BOOST_TEST(order.mayRepeat());
        order.copySent();
    }
    BOOST_TEST(!order.mayRepeat());
}

// The pattern of late orders: one call in eighteen gets no answer while the workers are well. A job
// of a dozen tasks then has such a start more often than not, and each used to cost the time-out, a
// stop and a report.
BOOST_AUTO_TEST_CASE(FewOrdersStayWithoutAnAnswerWhenOneInEighteenCallsIsLost)
{
    constexpr int orders = 20000;
    constexpr double lostShare = 1.0 / 18;
    Random random(7);
    int undecided = 0;
    for (int n = 0; n < orders; ++n) {
        OrderAttempts order;
        std::optional<OrderOutcome> outcome;
        while (!outcome && order.mayRepeat()) {
            order.copySent();
            if (random.unit() >= lostShare)
                outcome = order.copyAnswered(confirmed);
        }
        undecided += static_cast<int>(!outcome);
    }
    BOOST_TEST(undecided <= orders / 1000);
}

BOOST_AUTO_TEST_SUITE_END()
