#include "dragonflysill/wire/messageloop.h"
#include "dragonflysill/base/frame.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

/** A loop that records received messages and errors of closed connections. */
class RecordingServer
{
public:
    RecordingServer()
        : m_loop({{},
                  [this](LinkId id, const Envelope &envelope) {
                      record([&] { received[id].push_back(envelope.message); });
                  },
                  [this](LinkId, const Error &error) { record([&] { closed.push_back(error); }); },
                  {}},
                 50ms)
    {
        port = m_loop.listen("127.0.0.1:0").value();
        m_loop.start();
    }

    template <typename Condition>
    bool waitFor(Condition condition)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, 20s, condition);
    }

    MessageLoop &loop() { return m_loop; }

    int port = 0;
    std::map<LinkId, std::vector<Message>> received;
    std::vector<Error> closed;

private:
    template <typename Function>
    void record(Function function)
    {
        const std::lock_guard lock(m_mutex);
        function();
        m_changed.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    MessageLoop m_loop;
};

/** A client that sends arbitrary bytes over a TCP socket. */
class RawClient
{
public:
    explicit RawClient(int port)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        BOOST_REQUIRE(::connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof(address))
                      == 0);
    }
    ~RawClient() { close(); }

    void send(const std::string &bytes) const { ::send(m_socket, bytes.data(), bytes.size(), 0); }
    void close()
    {
        if (m_socket >= 0)
            ::close(std::exchange(m_socket, -1));
    }

private:
    int m_socket;
};

void connectAndSendHello(MessageLoop &client, int port)
{
    client.post([&client, port] {
        const LinkId id = 3;
        client.connect(id, "127.0.0.1:" + std::to_string(port));
        client.send({&id, 1}, {{1, 1}, Hello{"good", {}, {}, false, 1, {}}});
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(MessageLoops)

// Guards against an invalid frame that closes other connections or stops the loop.
BOOST_AUTO_TEST_CASE(InvalidFrameClosesOnlyItsConnection)
{
    RecordingServer server;
    MessageLoop validClient({}, 50ms);
    validClient.start();
    connectAndSendHello(validClient, server.port);
    BOOST_REQUIRE(server.waitFor([&] { return server.received.size() == 1; }));

    RawClient oversized(server.port);
    oversized.send("\xff\xff\xff\x7f");
    BOOST_REQUIRE(server.waitFor([&] { return server.closed.size() == 1; }));
    BOOST_TEST(server.closed[0].is(ErrorKind::LimitExceeded));

    RawClient invalid(server.port);
    invalid.send(*encodeFrame("this is no envelope, whatever its length says"));
    BOOST_REQUIRE(server.waitFor([&] { return server.closed.size() == 2; }));
    BOOST_TEST(server.closed[1].is(ErrorKind::Corrupt));

    RawClient truncated(server.port);
    truncated.send(encodeFrame("cut")->substr(0, 5));
    truncated.close();
    BOOST_REQUIRE(server.waitFor([&] { return server.closed.size() == 3; }));
    BOOST_TEST(server.closed[2].is(ErrorKind::Corrupt));
    BOOST_TEST(server.loop().traffic().framesRefused == 3U);

    validClient.post([&validClient] {
        const LinkId id = 3;
        validClient.send({&id, 1}, {{2, 2}, ViewRequest{4, true}});
    });
    BOOST_TEST(server.waitFor([&] { return server.received.begin()->second.size() == 2; }));
    validClient.stop();
}

// Guards against unlimited memory growth in the sender when a peer never reads.
BOOST_AUTO_TEST_CASE(NonReadingPeerIsDisconnected)
{
    RecordingServer server;
    const RawClient nonReadingClient(server.port);
    MessageLoop &loop = server.loop();
    loop.post([&loop] {
        const LinkId id = 2;
        const ViewDelta delta{0, 1, true, {{"k", std::string(3'000'000, 'x'), 1, false}}, false};
        for (int n = 0; n < 12; ++n)
            loop.send({&id, 1}, {{1, 1}, delta});
    });
    BOOST_REQUIRE(server.waitFor([&] { return !server.closed.empty(); }));
    BOOST_TEST(server.closed[0].is(ErrorKind::LimitExceeded));
}

// Guards against a failed outgoing connection whose failure is never reported.
BOOST_AUTO_TEST_CASE(RefusedConnectionIsReported)
{
    int unusedPort = 0;
    {
        MessageLoop listener({}, 50ms);
        unusedPort = listener.listen("127.0.0.1:0").value();
    }
    RecordingServer server;
    server.loop().post(
            [&] { server.loop().connect(5, "127.0.0.1:" + std::to_string(unusedPort)); });
    BOOST_REQUIRE(server.waitFor([&] { return !server.closed.empty(); }));
    BOOST_TEST(server.closed[0].is(ErrorKind::Unreachable));
}

BOOST_AUTO_TEST_SUITE_END()
