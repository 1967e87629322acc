#include "dragonflysill/links/backendprotocol.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstring>
#include <string>
#include <string_view>

using namespace dragonflysill;

namespace {

/** A stream that returns a given response in pieces of at most a given size, then end of stream. */
class CannedStream : public httplib::Stream
{
public:
    explicit CannedStream(std::string_view bytes, std::size_t step = 4096)
        : m_bytes(bytes)
        , m_step(step)
    {
    }

    bool is_readable() const override { return true; }
    bool is_writable() const override { return true; }

    ssize_t read(char *ptr, std::size_t size) override
    {
        const std::size_t n = std::min({size, m_step, m_bytes.size()});
        std::memcpy(ptr, m_bytes.data(), n);
        m_bytes.remove_prefix(n);
        return static_cast<ssize_t>(n);
    }

    ssize_t write(const char *ptr, std::size_t size) override
    {
        sent.append(ptr, size);
        return static_cast<ssize_t>(size);
    }

    void get_remote_ip_and_port(std::string &, int &) const override { }
    void get_local_ip_and_port(std::string &, int &) const override { }
    socket_t socket() const override { return INVALID_SOCKET; }

    std::string_view unread() const { return m_bytes; }

    std::string sent;

private:
    std::string_view m_bytes;
    std::size_t m_step;
};

/** The result of an exchange with a CannedStream. */
struct ReceivedResponse
{
    bool complete = false;
    bool canReuse = false;
    httplib::Response response;
    std::string sent;
    std::string unread;
};

ReceivedResponse exchange(std::string_view bytes, const std::string &method = "GET",
                          std::size_t step = 4096)
{
    CannedStream stream(bytes, step);
    BackendProtocol protocol;
    httplib::Request request;
    request.method = method;
    request.path = "/a%20b?x=%2F";
    ReceivedResponse result;
    result.complete = protocol.exchange(stream, request, result.response);
    result.canReuse = result.complete && protocol.canReuseConnection();
    result.sent = stream.sent;
    result.unread = stream.unread();
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BackendProtocolExchange)

// Guards against parsing that depends on how the network splits the response.
BOOST_AUTO_TEST_CASE(ParsesResponsesSplitAtAnyByte)
{
    const std::string text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA:  b \r\n"
                             "Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n1\r\n!\r\n"
                             "0\r\n\r\n";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        const ReceivedResponse result = exchange(text, "GET", step);
        BOOST_TEST(result.complete, "step " << step);
        BOOST_TEST(result.response.body == "hello!");
        BOOST_TEST(result.response.get_header_value("a") == "b");
        BOOST_TEST(result.canReuse);
    }
}

// Guards against the library percent-encoding the path again, which changes the caller's request.
BOOST_AUTO_TEST_CASE(SendsThePathAsReceived)
{
    const ReceivedResponse result = exchange("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST(result.sent.starts_with("GET /a%20b?x=%2F HTTP/1.1\r\n"), result.sent);
    BOOST_TEST(result.sent.find("Connection: close") == std::string::npos, result.sent);
}

// Guards against reading bytes after the response as part of it.
BOOST_AUTO_TEST_CASE(LeavesExcessBytesUnread)
{
    const ReceivedResponse result
            = exchange("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1", "GET", 1);
    BOOST_TEST(result.complete);
    BOOST_TEST(result.response.body == "ok");
    BOOST_TEST(result.unread == "HTTP/1.1");
}

// Guards against a truncated response that is reported as complete.
BOOST_AUTO_TEST_CASE(ReportsTruncatedResponses)
{
    BOOST_TEST(!exchange("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel").complete);
    BOOST_TEST(!exchange("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
                        .complete);
    BOOST_TEST(!exchange("HTTP/1.1 200 OK\r\nContent-Le").complete);
    const ReceivedResponse untilClose = exchange("HTTP/1.1 200 OK\r\n\r\nall");
    BOOST_TEST(untilClose.complete);
    BOOST_TEST(untilClose.response.body == "all");
    BOOST_TEST(!untilClose.canReuse);
}

// Guards against responses whose length two parsers would determine differently.
BOOST_AUTO_TEST_CASE(RejectsAmbiguousMessageLength)
{
    for (const char *head :
         {"Content-Length: 2\r\nContent-Length: 3", "Content-Length: -1", "Content-Length: 2x",
          "Transfer-Encoding: gzip", "Transfer-Encoding: chunked\r\nContent-Length: 2"}) {
        const std::string text = "HTTP/1.1 200 OK\r\n" + std::string(head) + "\r\n\r\nokok";
        BOOST_TEST(!exchange(text).complete, head);
    }
}

// Guards against forwarding a header without a valid name to the caller.
BOOST_AUTO_TEST_CASE(DoesNotForwardMalformedHeaders)
{
    for (const char *line : {"No colon", "A : b", ": b"}) {
        const std::string text
                = "HTTP/1.1 200 OK\r\n" + std::string(line) + "\r\nContent-Length: 2\r\n\r\nok";
        const ReceivedResponse result = exchange(text);
        if (!result.complete)
            continue;
        BOOST_TEST(result.response.body == "ok", line);
        for (const auto &it : result.response.headers)
            BOOST_TEST(it.first == "Content-Length", "header '" << it.first << "' of " << line);
    }
}

// Guards against data of another protocol that is accepted as a response.
BOOST_AUTO_TEST_CASE(RejectsMalformedStatusLines)
{
    BOOST_TEST(!exchange("HTTP/1.1 20\r\n\r\n").complete);
    BOOST_TEST(!exchange("HTTP/1.1 999 X\r\n\r\n").complete);
    BOOST_TEST(!exchange("garbage\r\n\r\n").complete);
    BOOST_TEST(!exchange("HTTP/1.1 103 Early Hints\r\n\r\n").complete);
}

// Guards against a backend server that exhausts the memory of the entry process with a large
// response.
BOOST_AUTO_TEST_CASE(LimitsHeaderAndBodySize)
{
    std::string head = "HTTP/1.1 200 OK\r\n";
    while (head.size() <= BackendProtocol::headLimit)
        head += "A: " + std::string(1000, 'x') + "\r\n";
    BOOST_TEST(!exchange(head + "Content-Length: 0\r\n\r\n").complete);
    BOOST_TEST(!exchange("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n").complete);
    BOOST_TEST(!exchange("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n")
                        .complete);
}

// Guards against waiting for a body that these responses do not have.
BOOST_AUTO_TEST_CASE(HeadAndNotModifiedHaveNoBody)
{
    const ReceivedResponse head = exchange("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HEAD");
    BOOST_TEST(head.complete);
    BOOST_TEST(head.canReuse);
    const ReceivedResponse notModified
            = exchange("HTTP/1.1 304 Not Modified\r\nETag: x\r\n\r\nnext");
    BOOST_TEST(notModified.complete);
    BOOST_TEST(notModified.response.body.empty());
}

// Guards against response splitting: a header value with percent-encoded line breaks that would be
// decoded before it is forwarded to the caller.
BOOST_AUTO_TEST_CASE(RejectsLineBreaksInHeaderValues)
{
    const ReceivedResponse result
            = exchange("HTTP/1.1 200 OK\r\nA: b%0d%0aC: d\r\nContent-Length: 0\r\n\r\n");
    const bool raw = result.complete && result.response.get_header_value("A") == "b%0d%0aC: d";
    BOOST_TEST((!result.complete || raw));
}

BOOST_AUTO_TEST_SUITE_END()
