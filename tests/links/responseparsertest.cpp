#include "dragonflysill/links/responseparser.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace dragonflysill;
using State = ResponseParser::State;

namespace {

State parse(ResponseParser &parser, std::string_view bytes, std::size_t step)
{
    for (std::size_t i = 0; i < bytes.size(); i += step)
        parser.feed(bytes.substr(i, step));
    return parser.state();
}

State parseAll(std::string_view bytes)
{
    ResponseParser parser(false);
    return parser.feed(bytes);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ResponseParsing)

// Guards against a result that depends on how the network splits the response.
BOOST_AUTO_TEST_CASE(ParsesTheSameInAnyPieces)
{
    const std::string text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA:  b \r\n"
                             "Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n1\r\n!\r\n"
                             "0\r\nTrailer: t\r\n\r\n";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        ResponseParser parser(false);
        BOOST_TEST((parse(parser, text, step) == State::Complete), "step " << step);
        BOOST_TEST(parser.response().body == "hello!");
        BOOST_TEST(parser.response().header("a") == "b");
        BOOST_TEST(parser.reusable());
    }
}

// Guards against bytes of another response on a connection that is used again.
BOOST_AUTO_TEST_CASE(DoesNotReuseAConnectionWithExcessBytes)
{
    ResponseParser parser(false);
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1");
    BOOST_TEST((parser.state() == State::Complete));
    BOOST_TEST(!parser.reusable());
}

// Guards against a truncated response that passes for a complete one.
BOOST_AUTO_TEST_CASE(ReportsTruncation)
{
    ResponseParser fixed(false);
    fixed.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel");
    BOOST_TEST((fixed.finish() == State::Malformed));
    ResponseParser chunked(false);
    chunked.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
    BOOST_TEST((chunked.finish() == State::Malformed));
    ResponseParser untilClose(false);
    untilClose.feed("HTTP/1.1 200 OK\r\n\r\nall");
    BOOST_TEST((untilClose.finish() == State::Complete));
    BOOST_TEST(!untilClose.reusable());
}

// Guards against responses whose end two readers would see at different places.
BOOST_AUTO_TEST_CASE(RejectsAmbiguousAndMalformedHeads)
{
    for (const char *head : {"Content-Length: 2\r\nContent-Length: 3", "Content-Length: -1",
                             "Content-Length: 2x", "Transfer-Encoding: gzip", "No colon",
                             "Transfer-Encoding: chunked\r\nContent-Length: 2", "A : b", ": b"}) {
        const std::string text = "HTTP/1.1 200 OK\r\n" + std::string(head) + "\r\n\r\n";
        BOOST_TEST((parseAll(text) == State::Malformed), head);
    }
    BOOST_TEST((parseAll("HTTP/1.1 20\r\n\r\n") == State::Malformed));
    BOOST_TEST((parseAll("HTTP/1.1 999 X\r\n\r\n") == State::Malformed));
    BOOST_TEST((parseAll("garbage\r\n\r\n") == State::Malformed));
}

// Guards against a backend server that exhausts the memory of the entry process.
BOOST_AUTO_TEST_CASE(BoundsHeadAndBody)
{
    const std::string longHead(ResponseParser::headLimit + 1, 'x');
    BOOST_TEST((parseAll("HTTP/1.1 200 OK\r\nA: " + longHead) == State::TooLarge));
    BOOST_TEST((parseAll("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n")
                == State::TooLarge));
    BOOST_TEST((parseAll("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n")
                == State::Malformed));
}

// Guards against a wait for a body that a response to HEAD does not have.
BOOST_AUTO_TEST_CASE(HeadResponsesHaveNoBody)
{
    ResponseParser parser(true);
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    BOOST_TEST((parser.state() == State::Complete));
    BOOST_TEST(parser.reusable());
}

BOOST_AUTO_TEST_SUITE_END()
