#include "dragonflysill/links/entryserver.h"

#include <boost/test/unit_test.hpp>

#include <httplib.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace dragonflysill;
using namespace std::chrono_literals;

namespace {

/** One TCP connection of a caller that sends bytes as they are given. */
std::string sendRaw(int port, const std::string &bytes)
{
    BackendSocket socket;
    const TimePoint until = steadyNow() + 5s;
    std::size_t sent = 0;
    std::string answer;
    if (socket.connect("127.0.0.1:" + std::to_string(port), until) != SocketStatus::Ok
        || socket.send(bytes, {}, sent, until) != SocketStatus::Ok)
        return "not sent";
    std::string_view part;
    while (socket.receive(part, until) == SocketStatus::Ok)
        answer += part;
    return answer;
}

/** An entry server with one backend server, which a test sets up. */
class Fixture
{
public:
    static constexpr int workers = 8;

    Fixture()
    {
        m_backend.Get(".*", [](const httplib::Request &request, httplib::Response &response) {
            response.set_header("Connection-Test", request.get_header_value("X-Private"));
            response.set_content(request.get_header_value("Range") + "!" + request.target, "a/b");
        });
        m_backend.Post(".*", [](const httplib::Request &request, httplib::Response &response) {
            const bool multipart = request.is_multipart_form_data();
            response.set_content(multipart ? request.get_file_value("a").content : request.body,
                                 "text/plain");
        });
        const int port = m_backend.bind_to_any_port("127.0.0.1");
        m_backendThread = std::thread([this] { m_backend.listen_after_bind(); });
        while (!m_backend.is_running()) // A stop() before that has no effect.
            std::this_thread::yield();
        auto view = std::make_shared<View>();
        Service service;
        service.name = "s";
        service.pool = "p";
        service.routes = {{"/x", 10s, true}};
        view->configuration.services["s"] = service;
        InstanceRecord record;
        record.name = "i";
        record.address = "127.0.0.1:" + std::to_string(port);
        record.pool = "p";
        view->instances["i"] = record;
        m_hub.install(view);
        m_port = *m_server.start("127.0.0.1:0");
    }

    ~Fixture()
    {
        m_server.shutDownGracefully();
        m_backend.stop();
        m_backendThread.join();
    }

    int port() const { return m_port; }
    httplib::Client client() const { return httplib::Client("127.0.0.1", m_port); }

private:
    httplib::Server m_backend;
    std::thread m_backendThread;
    std::shared_ptr<prometheus::Registry> m_registry = std::make_shared<prometheus::Registry>();
    EntryMetrics m_metrics{*m_registry};
    Timeline m_timeline{"test"};
    RequestDispatcher m_hub{DispatchSettings(), m_timeline};
    ConnectionPool m_connections;
    BackendClient m_exchange{m_connections};
    RequestHandler m_handler{"test", m_hub, m_exchange, m_metrics, nullptr};
    EntryServer m_server{m_handler, workers};
    int m_port = 0;
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntryServing)

// Guards against a crash, a hang or an untyped error after malformed HTTP.
BOOST_AUTO_TEST_CASE(AnswersMalformedRequestsWithATypedErrorAndCloses)
{
    Fixture fixture;
    const std::string longLine(20000, 'x');
    const std::vector<std::string> requests{
            std::string("GARBAGE\r\n\r\n"),
            "GET /x HTTP/1.1\r\nA: b%0d%0aC: d\r\n\r\n",
            std::string("GET /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"),
            std::string("TRACE /x HTTP/1.1\r\n\r\n"),
            "GET /x HTTP/1.1\r\nDragonflysill-Deadline-Ms: soon\r\nConnection: close\r\n\r\n",
            "GET /" + longLine + " HTTP/1.1\r\n\r\n",
            "GET /x HTTP/1.1\r\nA: " + longLine + "\r\n\r\n",
            std::string("POST /x HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n")};
    for (const std::string &bytes : requests) {
        const std::string answer = sendRaw(fixture.port(), bytes);
        BOOST_TEST(contains(answer, "HTTP/1.1 4"), bytes.substr(0, 60) << " got " << answer);
        BOOST_TEST(contains(answer, "Dragonflysill-Outcome: not-run"), bytes.substr(0, 60));
    }
    BOOST_TEST(fixture.client().Get("/x")->status == 200);
}

// Guards against messages that the HTTP library changes on the way.
BOOST_AUTO_TEST_CASE(ForwardsRangesBodiesAndTargetsUnchanged)
{
    Fixture fixture;
    auto client = fixture.client();
    const auto plain
            = client.Get("/x/%2F?a=b", {{"Connection", "X-Private, close"}, {"X-Private", "1"}});
    BOOST_TEST(plain->body == "!/x/%2F?a=b");
    BOOST_TEST(plain->get_header_value("Connection-Test").empty());
    BOOST_TEST(plain->get_header_value("Dragonflysill-Outcome") == "answered");
    // The backend server applies the range; applied twice it would not fit the shorter body.
    const auto ranged = client.Get("/x", {{"Range", "bytes=2-5"}});
    BOOST_TEST(ranged->status == 206);
    BOOST_TEST(ranged->body == "tes=");
    const std::string body
            = "--z\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\nb\r\n--z--\r\n";
    const std::string type = "multipart/form-data; boundary=z";
    BOOST_TEST(client.Post("/x", body, type)->body == "b");
    BOOST_TEST(client.Post("/x", body, "text/plain")->body == body);
}

// Guards against idle connections that keep new ones waiting when every thread has one.
BOOST_AUTO_TEST_CASE(IdleConnectionsMakeRoomForNewOnes)
{
    Fixture fixture;
    std::vector<std::unique_ptr<httplib::Client>> idle;
    for (int n = 0; n < Fixture::workers; ++n) {
        idle.push_back(std::make_unique<httplib::Client>("127.0.0.1", fixture.port()));
        idle.back()->set_keep_alive(true);
        BOOST_TEST(idle.back()->Get("/x")->status == 200);
    }
    auto late = fixture.client();
    late.set_read_timeout(20s);
    const auto answer = late.Get("/x");
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->status == 200);
}

// Guards against a request whose path belongs to no service but reaches a backend server.
BOOST_AUTO_TEST_CASE(ReportsAMissingRoute)
{
    Fixture fixture;
    const auto answer = fixture.client().Get("/none");
    BOOST_TEST(answer->status == 404);
    BOOST_TEST(answer->get_header_value("Dragonflysill-Outcome") == "not-run");
}

BOOST_AUTO_TEST_SUITE_END()
