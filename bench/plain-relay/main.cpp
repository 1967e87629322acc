#include "dragonflysill/telemetry/settings.h"
#include "dragonflysill/telemetry/stopsignal.h"

#include <httplib.h>

#include <limits>
#include <string>
#include <thread>

using namespace dragonflysill;

namespace {

/** Gives access to the server's socket, to set the same listen backlog as the entry process. */
class RelayServer : public httplib::Server
{
public:
    bool raiseBacklog(int backlog) { return ::listen(svr_sock_, backlog) == 0; }
};

/** Forwards a request over the calling thread's own connection to the fixed backend server. */
void relay(const Endpoint &backend, const httplib::Request &request, httplib::Response &response)
{
    thread_local httplib::Client client(backend.host, backend.port);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    httplib::Request forwarded;
    forwarded.method = request.method;
    forwarded.path = request.target;
    forwarded.body = request.body;
    const std::string id = "Dragonflysill-Request-Id";
    forwarded.set_header(id, request.get_header_value(id));
    httplib::Response answer;
    httplib::Error error = httplib::Error::Success;
    if (!client.send(forwarded, answer, error)) {
        response.status = 502;
        return;
    }
    response.status = answer.status;
    response.set_content(answer.body, answer.get_header_value("Content-Type"));
}

} // namespace

/** The baseline of bench/throughput.sh: a relay with one kept-alive connection per thread. */
int main(int argc, char **argv)
{
    const StopSignal stopSignal;
    std::string listen;
    std::string backend;
    std::size_t threads = 64;
    Settings settings("plain-relay", "Forwards every request to one backend server.",
                      DRAGONFLYSILL_VERSION);
    settings.addAddress("listen", listen, "Address for callers")->required();
    settings.addAddress("backend", backend, "Address of the backend server")->required();
    settings.add("threads", threads,
                 "Number of threads, which limits the connections served at once");
    if (const auto code = settings.parse(argc, argv))
        return *code;
    const Endpoint target = *Endpoint::parse(backend);
    const Endpoint own = *Endpoint::parse(listen);
    constexpr int backlog = 1024;
    RelayServer server;
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
    server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    const auto handler = [target](const httplib::Request &request, httplib::Response &response) {
        relay(target, request, response);
    };
    server.Get(".*", handler);
    server.Post(".*", handler);
    if (!server.bind_to_port(own.host, own.port) || !server.raiseBacklog(backlog))
        return 1;
    std::thread thread([&server] { server.listen_after_bind(); });
    stopSignal.wait();
    server.stop();
    thread.join();
    return 0;
}
