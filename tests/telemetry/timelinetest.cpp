#include "dragonflysill/telemetry/timeline.h"
#include "dragonflysill/telemetry/settings.h"

#include <boost/test/unit_test.hpp>

using namespace dragonflysill;

BOOST_AUTO_TEST_SUITE(Timelines)

// Guards against unbounded memory growth in a long-running process.
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

// Guards against a merged timeline that shows an effect before its cause.
BOOST_AUTO_TEST_CASE(MergeOrdersReceiptAfterSending)
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

// Guards against a /timeline response that the command line cannot decode.
BOOST_AUTO_TEST_CASE(JsonRoundTripKeepsEveryField)
{
    Timeline timeline("control-1");
    timeline.record(EventKind::TicketAccepted, "7", "id \"x\"");
    const auto decoded = eventsFromJson(eventsToJson(timeline.events()));
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST((decoded.value() == timeline.events()));
    BOOST_TEST(!eventsFromJson("{").ok());
    BOOST_TEST(!eventsFromJson("[{}]").ok());
}

// Guards against malformed addresses that are only detected when the socket is opened.
BOOST_AUTO_TEST_CASE(EndpointRejectsMalformedAddresses)
{
    BOOST_TEST(Endpoint::parse("127.0.0.1:80").has_value());
    for (const char *text :
         {"", "127.0.0.1", "host:80", "127.0.0.1:", "127.0.0.1:70000", "1.2.3:4"})
        BOOST_TEST(!Endpoint::parse(text).has_value(), "accepted '" << text << "'");
}

BOOST_AUTO_TEST_SUITE_END()
