#include "dragonflysill/telemetry/timeline.h"
#include "dragonflysill/telemetry/settings.h"

#include <boost/test/unit_test.hpp>

using namespace dragonflysill;

BOOST_AUTO_TEST_SUITE(TimelineRing)

// Guards against unbounded growth in a process that runs for months.
BOOST_AUTO_TEST_CASE(KeepsOnlyTheNewestEvents)
{
    Timeline timeline("entry-1", 3);
    for (int n = 0; n < 5; ++n)
        timeline.record(EventKind::ViewInstalled, std::to_string(n));
    const auto events = timeline.events();
    BOOST_TEST(events.size() == 3U);
    BOOST_TEST(events.front().subject == "2");
    BOOST_TEST(timeline.dropped() == 2U);
}

// Guards against a merged view in which an effect stands before its cause.
BOOST_AUTO_TEST_CASE(MergeOrdersAReceiptAfterItsSending)
{
    Timeline a("a");
    Timeline b("b");
    b.observe({a.stamp().wallMs + 60000, 7});
    b.record(EventKind::ViewInstalled, "received");
    const HybridTime sent = b.stamp();
    a.observe(sent);
    a.record(EventKind::ViewInstalled, "answer");
    auto events = a.events();
    const auto more = b.events();
    events.insert(events.end(), more.begin(), more.end());
    const auto merged = mergeEvents(events);
    BOOST_TEST(merged.front().subject == "received");
    BOOST_TEST(merged.back().subject == "answer");
}

// Guards against an endpoint whose output the command line cannot read.
BOOST_AUTO_TEST_CASE(JsonKeepsEveryField)
{
    Timeline timeline("control-1");
    timeline.record(EventKind::TicketAccepted, "7", "id \"x\"");
    const auto decoded = eventsFromJson(eventsToJson(timeline.events()));
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST((decoded.value() == timeline.events()));
    BOOST_TEST(!eventsFromJson("{").ok());
    BOOST_TEST(!eventsFromJson("[{}]").ok());
}

// Guards against addresses that would fail only when the socket is opened.
BOOST_AUTO_TEST_CASE(EndpointRefusesOtherForms)
{
    BOOST_TEST(Endpoint::parse("127.0.0.1:80").has_value());
    for (const char *text :
         {"", "127.0.0.1", "host:80", "127.0.0.1:", "127.0.0.1:70000", "1.2.3:4"})
        BOOST_TEST(!Endpoint::parse(text).has_value(), "accepted '" << text << "'");
}

BOOST_AUTO_TEST_SUITE_END()
