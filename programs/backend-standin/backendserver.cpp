#include "backendserver.h"

#include "dragonflysill/standin/peersocket.h"
#include "dragonflysill/telemetry/httplistener.h"

#include <limits>
#include <utility>

namespace dragonflysill {

namespace internal {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds closePollInterval{10};
constexpr std::chrono::seconds keepAliveTimeout{300};

void reply(httplib::Response &response, const Json &json)
{
    response.set_content(json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n",
                         "application/json");
}

RequestIdentity identityOf(const httplib::Request &request)
{
    RequestIdentity identity;
    identity.requestId = request.get_header_value("Dragonflysill-Request-Id");
    identity.idempotencyKey = request.get_header_value("Idempotency-Key");
    identity.pool = request.get_header_value("Dragonflysill-Pool");
    identity.epoch = std::atoll(request.get_header_value("Dragonflysill-Epoch").c_str());
    return identity;
}

/** Returns true if the deadline passed before the request could start. */
bool isExpired(const httplib::Request &request)
{
    const std::string text = request.get_header_value("Dragonflysill-Deadline-Ms");
    return !text.empty() && std::atoll(text.c_str()) <= 0;
}

} // namespace internal

BackendServer::BackendServer(BackendServerSettings settings)
    : m_settings(std::move(settings))
    , m_behaviour(m_settings.serviceTime, m_settings.seed)
{
    addRoutes();
}

BackendServer::~BackendServer()
{
    drainAndStop();
}

void BackendServer::addRoutes()
{
    m_server.set_tcp_nodelay(true);
    m_server.set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
    m_server.set_keep_alive_timeout(internal::keepAliveTimeout.count());
    m_server.new_task_queue = [n = m_settings.connections] { return new httplib::ThreadPool(n); };
    m_server.Get("/standin/runs",
                 [this](const httplib::Request &request, httplib::Response &response) {
                     internal::reply(response, m_log.toJson(!request.has_param("summary")));
                 });
    m_server.Get("/standin/behaviour",
                 [this](const httplib::Request &, httplib::Response &response) {
                     internal::reply(response, toJson(m_behaviour.settings()));
                 });
    m_server.Post("/standin/behaviour", [this](const httplib::Request &request,
                                               httplib::Response &response) {
        const auto json = internal::Json::parse(request.body, nullptr, false);
        if (!json.is_object()) {
            response.status = 400;
            return internal::reply(response, {{"error", "the body is not a JSON object"}});
        }
        m_behaviour.change(json);
        if (json.value("silence_connections", false)) {
            const std::lock_guard lock(m_mutex);
            m_silentPorts.insert(m_openPorts.begin(), m_openPorts.end());
        }
        internal::reply(response, toJson(m_behaviour.settings()));
    });
    const auto handler = [this](const httplib::Request &request, httplib::Response &response) {
        handle(request, response);
    };
    m_server.Get(".*", handler);
    m_server.Post(".*", handler);
    m_server.Put(".*", handler);
    m_server.Patch(".*", handler);
    m_server.Delete(".*", handler);
}

Result<int> BackendServer::start(const std::string &host, int port)
{
    auto bound = bindExclusively(m_server, host + ":" + std::to_string(port));
    if (!bound)
        return bound;
    m_port = *bound;
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    return bound;
}

void BackendServer::drainAndStop()
{
    if (!m_thread.joinable())
        return;
    m_draining = true;
    std::this_thread::sleep_for(m_settings.drainLinger);
    {
        std::unique_lock lock(m_mutex);
        m_slotReleased.wait_for(lock, m_settings.drainLimit, [this] { return m_busySlots == 0; });
    }
    m_stopping = true;
    while (!m_server.is_running())
        std::this_thread::yield();
    m_server.stop();
    endIdleConnections(m_port);
    m_thread.join();
}

bool BackendServer::takeSlot()
{
    const std::lock_guard lock(m_mutex);
    if (m_draining || m_busySlots >= m_settings.slots)
        return false;
    ++m_busySlots;
    return true;
}

void BackendServer::releaseSlot()
{
    const std::lock_guard lock(m_mutex);
    --m_busySlots;
    m_slotReleased.notify_all();
}

void BackendServer::refuse(httplib::Response &response)
{
    m_log.refused();
    response.status = 503;
    response.set_header("Dragonflysill-Refused", "before-start");
    if (m_draining)
        response.set_header("Connection", "close");
    internal::reply(response, {{"error", "refused before start"}});
}

void BackendServer::waitUntilClosed(const httplib::Request &request)
{
    const PeerSocket socket(request);
    while (!m_stopping && !socket.closedByPeer())
        std::this_thread::sleep_for(internal::closePollInterval);
    socket.shutDown();
}

bool BackendServer::isSilent(const httplib::Request &request)
{
    const std::lock_guard lock(m_mutex);
    m_openPorts.insert(request.remote_port);
    return m_silentPorts.count(request.remote_port) > 0;
}

void BackendServer::handle(const httplib::Request &request, httplib::Response &response)
{
    const BehaviourSettings settings = m_behaviour.settings();
    if (isSilent(request) || settings.halfOpen)
        return waitUntilClosed(request);
    if (settings.refuse || internal::isExpired(request) || !takeSlot())
        return refuse(response);
    run(request, response);
    releaseSlot();
}

void BackendServer::run(const httplib::Request &request, httplib::Response &response)
{
    const RequestIdentity identity = internal::identityOf(request);
    const std::int64_t runs = m_log.started(identity);
    const RequestPlan plan = m_behaviour.plan();
    std::this_thread::sleep_for(plan.serviceTime);
    if (m_behaviour.settings().hang)
        waitUntilClosed(request);
    m_log.finished(identity);
    if (plan.drops)
        PeerSocket(request).shutDown();
    response.status = plan.fails ? 500 : 200;
    response.set_header("Dragonflysill-Request-Id", identity.requestId);
    if (m_draining)
        response.set_header("Connection", "close");
    internal::reply(response, {{"request_id", identity.requestId},
                               {"idempotency_key", identity.idempotencyKey},
                               {"method", request.method},
                               {"path", request.path},
                               {"body", request.body},
                               {"instance", m_settings.name},
                               {"pool", identity.pool},
                               {"epoch", identity.epoch},
                               {"runs", runs}});
}

} // namespace dragonflysill
