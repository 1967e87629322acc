#include "dragonflysill/telemetry/httplistener.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace dragonflysill;

BOOST_AUTO_TEST_SUITE(HttpListeners)

// Guards against two processes that share an address, so that each receives only part of the
// requests. A stand-in then counts requests that were meant for another one on the same port.
BOOST_AUTO_TEST_CASE(RejectsAddressInUse)
{
    httplib::Server first;
    httplib::Server second;
    HttpListener listener(first);
    HttpListener other(second);
    const auto port = listener.start("127.0.0.1:0");
    BOOST_REQUIRE(port.ok());
    const auto refused = other.start("127.0.0.1:" + std::to_string(*port));
    BOOST_REQUIRE(!refused.ok());
    BOOST_TEST(refused.error().is(ErrorKind::Unreachable));
    listener.stop();
    BOOST_TEST(other.start("127.0.0.1:" + std::to_string(*port)).ok());
}

// Guards against a malformed address that is only noticed when callers cannot connect.
BOOST_AUTO_TEST_CASE(RejectsMalformedAddress)
{
    httplib::Server server;
    HttpListener listener(server);
    const auto refused = listener.start("localhost:80");
    BOOST_REQUIRE(!refused.ok());
    BOOST_TEST(refused.error().is(ErrorKind::SettingsInvalid));
}

BOOST_AUTO_TEST_SUITE_END()
