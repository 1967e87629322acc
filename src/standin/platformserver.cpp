#include "dragonflysill/standin/platformserver.h"

#include "dragonflysill/standin/peersocket.h"
#include "dragonflysill/store/gatewaycodec.h"
#include "dragonflysill/telemetry/httplistener.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <utility>

namespace dragonflysill {

namespace internal {

using Json = nlohmann::json;

constexpr std::chrono::seconds watchProgressInterval{1};
constexpr std::chrono::milliseconds hangPollInterval{20};
constexpr std::chrono::seconds keepAliveTimeout{300};

void reply(httplib::Response &response, const Json &json)
{
    response.set_content(json.dump() + "\n", "application/json");
}

void replyError(httplib::Response &response, int status, gateway::StatusCode code,
                const std::string &message)
{
    response.status = status;
    reply(response,
          gateway::encodeResponse(gateway::ErrorResponse{static_cast<int>(code), message}));
}

Json toJson(const std::vector<PlatformInstance> &instances)
{
    Json json = Json::array();
    for (const PlatformInstance &it : instances) {
        json.push_back({{"name", it.name},
                        {"zone", it.zone},
                        {"rack", it.rack},
                        {"address", it.address},
                        {"state", toText(it.state)}});
    }
    return {{"instances", std::move(json)}};
}

PlatformInstanceState parseInstanceState(const std::string &text)
{
    for (const auto state : {PlatformInstanceState::Live, PlatformInstanceState::Leaving,
                             PlatformInstanceState::Terminated}) {
        if (text == toText(state))
            return state;
    }
    throw std::invalid_argument("state '" + text + "' is not live, leaving or terminated");
}

std::vector<PlatformInstance> parseInstances(const Json &json)
{
    std::vector<PlatformInstance> instances;
    for (const Json &it : json.at("instances")) {
        instances.push_back({it.at("name").get<std::string>(), it.value("zone", ""),
                             it.value("rack", ""), it.value("address", ""),
                             parseInstanceState(it.value("state", "live"))});
    }
    return instances;
}

void replyTask(httplib::Response &response, const Result<PlatformTask> &task)
{
    if (task)
        return reply(response, {{"task", *task}});
    response.status = task.error().is(ErrorKind::NotFound) ? 404 : 409;
    reply(response, {{"error", task.error().detail}});
}

std::int64_t millisecondsSinceEpoch(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

/** Writes the responses of one watch stream, one JSON object per line. */
class WatchWriter
{
public:
    WatchWriter(httplib::DataSink &sink, bool progressNotify)
        : m_sink(sink)
        , m_progressNotify(progressNotify)
        , m_lastWrite(steadyNow())
    {
    }

    bool write(const gateway::WatchResponse &answer)
    {
        m_lastWrite = steadyNow();
        const std::string line = gateway::encodeResponse(answer).dump() + "\n";
        return m_sink.write(line.data(), line.size());
    }

    bool writeChanges(std::span<const KeyUpdate> updates, std::int64_t revision)
    {
        gateway::WatchResponse answer;
        answer.revision = revision;
        answer.updates.assign(updates.begin(), updates.end());
        const bool isProgress
                = m_progressNotify && steadyNow() - m_lastWrite >= watchProgressInterval;
        if (!updates.empty() || isProgress)
            return write(answer);
        return m_sink.is_writable();
    }

private:
    httplib::DataSink &m_sink;
    const bool m_progressNotify;
    TimePoint m_lastWrite;
};

void streamWatch(MemoryStore &store, const gateway::WatchRequest &request, httplib::DataSink &sink,
                 const std::atomic<bool> &stopping)
{
    WatchWriter writer(sink, request.progressNotify);
    gateway::WatchResponse created;
    created.revision = store.revision();
    created.created = true;
    if (!writer.write(created))
        return;
    const std::int64_t start
            = request.startRevision != 0 ? request.startRevision : created.revision + 1;
    const auto ended = store.watchRange(
            request.keys, start, [&](std::span<const KeyUpdate> updates, std::int64_t revision) {
                return !stopping && writer.writeChanges(updates, revision);
            });
    if (!ended && ended.error().is(ErrorKind::Compacted)) {
        gateway::WatchResponse answer;
        answer.revision = store.revision();
        answer.canceled = true;
        answer.compactRevision = store.compactedRevision();
        writer.write(answer);
    }
}

} // namespace internal

PlatformServer::PlatformServer(PlatformServerSettings settings)
    : m_settings(settings)
    , m_instances(settings.listLag, settings.rebootTime)
    , m_workers(settings.workers)
    , m_writes(settings.maxWritesPerSecond, settings.maxWritesPerSecond / 10)
    , m_reads(settings.maxReadsPerSecond, settings.maxReadsPerSecond / 10)
{
    addRoutes();
}

PlatformServer::~PlatformServer()
{
    stop();
}

Result<int> PlatformServer::start(const std::string &host, int port)
{
    auto bound = bindExclusively(m_server, host + ":" + std::to_string(port));
    if (!bound)
        return bound;
    m_port = *bound;
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    return bound;
}

void PlatformServer::stop()
{
    if (!m_thread.joinable())
        return;
    m_stopping = true;
    m_store.endWatches();
    while (!m_server.is_running())
        std::this_thread::yield();
    m_server.stop();
    endIdleConnections(m_port);
    m_thread.join();
}

void PlatformServer::addRoutes()
{
    m_server.set_tcp_nodelay(true);
    m_server.set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
    m_server.set_keep_alive_timeout(internal::keepAliveTimeout.count());
    m_server.new_task_queue = [n = m_settings.threads] { return new httplib::ThreadPool(n); };
    m_server.set_exception_handler(
            [](const httplib::Request &, httplib::Response &response, std::exception_ptr error) {
                try {
                    std::rethrow_exception(error);
                } catch (const std::exception &e) {
                    response.status = 400;
                    internal::reply(response, {{"error", e.what()}});
                }
            });
    addStoreRoute(gateway::rangePath, &PlatformServer::range);
    addStoreRoute(gateway::putPath, &PlatformServer::put);
    addStoreRoute(gateway::transactionPath, &PlatformServer::transaction);
    addStoreRoute(gateway::compactionPath, &PlatformServer::compaction);
    addStoreRoute(gateway::leaseGrantPath, &PlatformServer::leaseGrant);
    addStoreRoute(gateway::leaseKeepAlivePath, &PlatformServer::leaseKeepAlive);
    addStoreRoute(gateway::leaseRevokePath, &PlatformServer::leaseRevoke);
    addStoreRoute(gateway::watchPath, &PlatformServer::watch);
    addPlatformRoute("GET", "/platform/instances", &PlatformServer::listInstances);
    addPlatformRoute("POST", "/platform/instances/([^/]+)/drain", &PlatformServer::drainInstance);
    addPlatformRoute("POST", "/platform/instances/([^/]+)/reboot", &PlatformServer::rebootInstance);
    addPlatformRoute("GET", "/platform/workers", &PlatformServer::listWorkers);
    addPlatformRoute("GET", "/platform/tasks", &PlatformServer::listTasks);
    addPlatformRoute("POST", "/platform/workers/([^/]+)/tasks", &PlatformServer::startTask);
    addPlatformRoute("POST", "/platform/tasks/(.+)/(renew|checkpoint|throttle|stop)",
                     &PlatformServer::performTaskAction);
    addStandinRoutes();
}

void PlatformServer::addStandinRoutes()
{
    const auto bind = [this](Handler handler) {
        return [this, handler](const httplib::Request &request, httplib::Response &response) {
            (this->*handler)(request, response);
        };
    };
    m_server.Post("/standin/workers", bind(&PlatformServer::setWorkers));
    m_server.Post("/standin/jobs", bind(&PlatformServer::setJobs));
    m_server.Post("/standin/instances", bind(&PlatformServer::setInstances));
    m_server.Post("/standin/faults", bind(&PlatformServer::setFaults));
    m_server.Get("/standin/faults", bind(&PlatformServer::getFaults));
    m_server.Get("/standin/calls", bind(&PlatformServer::getCalls));
    m_server.Get("/standin/reboots", bind(&PlatformServer::getReboots));
}

void PlatformServer::addStoreRoute(const std::string &path, Handler handler)
{
    m_server.Post(
            path, [this, handler](const httplib::Request &request, httplib::Response &response) {
                if (applyConnectionFaults(request))
                    return;
                if (exceedsCallLimit(request)) {
                    internal::replyError(response, 429, gateway::StatusCode::ResourceExhausted,
                                         "etcdserver: too many requests");
                    return;
                }
                (this->*handler)(request, response);
            });
}

void PlatformServer::addPlatformRoute(const std::string &method, const std::string &pattern,
                                      Handler handler)
{
    const auto function
            = [this, handler](const httplib::Request &request, httplib::Response &response) {
                  if (applyConnectionFaults(request))
                      return;
                  {
                      const std::lock_guard lock(m_mutex);
                      ++m_calls[request.method + " platform"];
                      if (m_faults.platformDown) {
                          response.status = 503;
                          return;
                      }
                  }
                  (this->*handler)(request, response);
              };
    if (method == "GET")
        m_server.Get(pattern, function);
    else
        m_server.Post(pattern, function);
}

bool PlatformServer::exceedsCallLimit(const httplib::Request &request)
{
    const std::lock_guard lock(m_mutex);
    const bool isRead = request.path == gateway::rangePath || request.path == gateway::watchPath;
    const double limit = isRead ? m_settings.maxReadsPerSecond : m_settings.maxWritesPerSecond;
    if (limit <= 0 || (isRead ? m_reads : m_writes).take(steadyNow()))
        return false;
    ++m_overLimit;
    return true;
}

bool PlatformServer::applyConnectionFaults(const httplib::Request &request)
{
    const std::string client = request.get_header_value("Dragonflysill-Client");
    const PeerSocket socket(request);
    for (;;) {
        {
            const std::lock_guard lock(m_mutex);
            const bool dropped = m_faults.drop || m_faults.unreachableClients.count(client) > 0;
            if (!dropped && !m_faults.hang)
                return false;
            if (dropped || m_stopping || socket.closedByPeer()) {
                socket.shutDown();
                return true;
            }
        }
        std::this_thread::sleep_for(internal::hangPollInterval);
    }
}

void PlatformServer::replyStoreError(const httplib::Request &request, httplib::Response &response,
                                     const Error &error)
{
    if (error.is(ErrorKind::OutcomeUnknown))
        PeerSocket(request).shutDown();
    else if (error.is(ErrorKind::StoreUnavailable))
        internal::replyError(response, 503, gateway::StatusCode::Unavailable,
                             "etcdserver: no leader");
    else if (error.is(ErrorKind::Corrupt))
        response.set_content("\x01garbage{", "application/json");
    else if (error.is(ErrorKind::LeaseLost))
        internal::replyError(response, 404, gateway::StatusCode::NotFound,
                             "etcdserver: requested lease not found");
    else if (error.is(ErrorKind::Compacted))
        internal::replyError(response, 400, gateway::StatusCode::OutOfRange, error.detail);
    else
        internal::replyError(response, 400, gateway::StatusCode::InvalidArgument, error.detail);
}

void PlatformServer::range(const httplib::Request &request, httplib::Response &response)
{
    const auto operation = gateway::decodeRange(request.body);
    if (!operation)
        return replyStoreError(request, response,
                               {ErrorKind::InvalidInput, operation.error().detail});
    const auto result = m_store.range(*operation);
    if (!result)
        return replyStoreError(request, response, result.error());
    internal::reply(response, gateway::encodeResponse(*result));
}

void PlatformServer::put(const httplib::Request &request, httplib::Response &response)
{
    const auto operation = gateway::decodePut(request.body);
    if (!operation)
        return replyStoreError(request, response,
                               {ErrorKind::InvalidInput, operation.error().detail});
    const auto result = m_store.commit(Transaction{{}, {*operation}, {}});
    if (!result)
        return replyStoreError(request, response, result.error());
    internal::reply(response, gateway::encodeHeader(result->revision));
}

void PlatformServer::transaction(const httplib::Request &request, httplib::Response &response)
{
    const auto transaction = gateway::decodeTransaction(request.body);
    if (!transaction) {
        return replyStoreError(request, response,
                               {ErrorKind::InvalidInput, transaction.error().detail});
    }
    const auto result = m_store.commit(*transaction);
    if (!result)
        return replyStoreError(request, response, result.error());
    internal::reply(response, gateway::encodeResponse(*transaction, *result));
}

void PlatformServer::compaction(const httplib::Request &request, httplib::Response &response)
{
    const auto revision = gateway::decodeCompaction(request.body);
    if (!revision)
        return replyStoreError(request, response,
                               {ErrorKind::InvalidInput, revision.error().detail});
    const auto result = m_store.compact(*revision);
    if (!result)
        return replyStoreError(request, response, result.error());
    internal::reply(response, gateway::encodeHeader(m_store.revision()));
}

void PlatformServer::leaseGrant(const httplib::Request &request, httplib::Response &response)
{
    const auto ttl = gateway::decodeLeaseGrant(request.body);
    if (!ttl)
        return replyStoreError(request, response, {ErrorKind::InvalidInput, ttl.error().detail});
    const auto lease = m_store.grantLease(*ttl);
    if (!lease)
        return replyStoreError(request, response, lease.error());
    internal::reply(response, gateway::encodeResponse(*lease, m_store.revision()));
}

void PlatformServer::leaseKeepAlive(const httplib::Request &request, httplib::Response &response)
{
    const auto id = gateway::decodeLeaseId(request.body);
    if (!id)
        return replyStoreError(request, response, {ErrorKind::InvalidInput, id.error().detail});
    auto lease = m_store.renewLease(*id);
    // etcd reports no error for the renewal of an expired lease but a time to live of 0.
    if (!lease && lease.error().is(ErrorKind::LeaseLost))
        lease = Lease{*id, 0};
    if (!lease)
        return replyStoreError(request, response, lease.error());
    internal::reply(response, gateway::encodeKeepAliveResponse(*lease, m_store.revision()));
}

void PlatformServer::leaseRevoke(const httplib::Request &request, httplib::Response &response)
{
    const auto id = gateway::decodeLeaseId(request.body);
    if (!id)
        return replyStoreError(request, response, {ErrorKind::InvalidInput, id.error().detail});
    const auto result = m_store.revokeLease(*id);
    if (!result)
        return replyStoreError(request, response, result.error());
    internal::reply(response, gateway::encodeHeader(m_store.revision()));
}

void PlatformServer::watch(const httplib::Request &request, httplib::Response &response)
{
    const auto watch = gateway::decodeWatch(request.body);
    if (!watch)
        return replyStoreError(request, response, {ErrorKind::InvalidInput, watch.error().detail});
    response.set_chunked_content_provider(
            "application/json", [this, watch = *watch](std::size_t, httplib::DataSink &sink) {
                internal::streamWatch(m_store, watch, sink, m_stopping);
                sink.done();
                return false;
            });
}

void PlatformServer::listInstances(const httplib::Request &, httplib::Response &response)
{
    const std::lock_guard lock(m_mutex);
    internal::reply(response, internal::toJson(m_instances.list(steadyNow())));
}

void PlatformServer::drainInstance(const httplib::Request &request, httplib::Response &response)
{
    const std::lock_guard lock(m_mutex);
    const auto result = m_instances.drain(request.matches[1].str(), steadyNow());
    response.status = result ? 200 : 404;
    internal::reply(response, internal::Json::object());
}

void PlatformServer::rebootInstance(const httplib::Request &request, httplib::Response &response)
{
    const std::lock_guard lock(m_mutex);
    const auto result = m_instances.reboot(request.matches[1].str(), steadyNow());
    response.status = result ? 200 : 404;
    internal::reply(response, internal::Json::object());
}

void PlatformServer::listWorkers(const httplib::Request &, httplib::Response &response)
{
    const std::lock_guard lock(m_mutex);
    internal::reply(response, {{"workers", m_workers.workers()}});
}

void PlatformServer::listTasks(const httplib::Request &, httplib::Response &response)
{
    const std::lock_guard lock(m_mutex);
    internal::reply(response, {{"tasks", m_workers.tasks(steadyNow())}});
}

void PlatformServer::startTask(const httplib::Request &request, httplib::Response &response)
{
    const auto start = internal::Json::parse(request.body).get<TaskStartRequest>();
    const std::lock_guard lock(m_mutex);
    internal::replyTask(response, m_workers.start(request.matches[1].str(), start, steadyNow()));
}

void PlatformServer::performTaskAction(const httplib::Request &request, httplib::Response &response)
{
    const std::string id = request.matches[1];
    const std::string action = request.matches[2];
    const TimePoint now = steadyNow();
    const std::lock_guard lock(m_mutex);
    if (action == "renew")
        internal::replyTask(response, m_workers.renew(id, now));
    else if (action == "checkpoint")
        internal::replyTask(response, m_workers.checkpoint(id, now));
    else if (action == "throttle")
        internal::replyTask(response, m_workers.throttle(id, now));
    else
        internal::replyTask(response, m_workers.stop(id, now));
}

void PlatformServer::setWorkers(const httplib::Request &request, httplib::Response &response)
{
    const auto json = internal::Json::parse(request.body);
    const std::lock_guard lock(m_mutex);
    if (json.contains("workers"))
        m_workers.setWorkers(json.at("workers").get<std::vector<PlatformWorker>>(), steadyNow());
    if (json.contains("failing")) {
        const auto failing = json.at("failing").get<std::set<std::string>>();
        for (const PlatformWorker &it : m_workers.workers())
            m_workers.setFailing(it.name, failing.count(it.name) > 0);
    }
    internal::reply(response, {{"workers", m_workers.workers()}});
}

void PlatformServer::setJobs(const httplib::Request &request, httplib::Response &response)
{
    const auto json = internal::Json::parse(request.body);
    const std::lock_guard lock(m_mutex);
    for (const auto &[job, it] : json.items()) {
        const JobProfile normal;
        m_workers.setProfile(job,
                             {it.value("cores_factor", normal.coresFactor),
                              it.value("memory_factor", normal.memoryFactor),
                              std::chrono::milliseconds(it.value("run_ms", normal.run.count())),
                              it.value("fails", normal.fails)});
    }
    internal::reply(response, internal::Json::object());
}

void PlatformServer::setInstances(const httplib::Request &request, httplib::Response &response)
{
    const auto instances = internal::parseInstances(internal::Json::parse(request.body));
    const std::lock_guard lock(m_mutex);
    if (request.has_param("merge"))
        m_instances.merge(instances, steadyNow());
    else
        m_instances.replace(instances, steadyNow());
    internal::reply(response, internal::toJson(m_instances.actual(steadyNow())));
}

void PlatformServer::setFaults(const httplib::Request &request, httplib::Response &response)
{
    const auto json = internal::Json::parse(request.body);
    StoreFaults store = m_store.faults();
    store.down = json.value("down", store.down);
    store.loseAnswers = json.value("lose_answers", store.loseAnswers);
    store.loseRequests = json.value("lose_requests", store.loseRequests);
    store.reject = json.value("reject", store.reject);
    store.corruptAnswers = json.value("garbage_answers", store.corruptAnswers);
    store.delay = std::chrono::milliseconds(json.value("delay_ms", store.delay.count()));
    m_store.setFaults(store);
    {
        const std::lock_guard lock(m_mutex);
        m_faults.drop = json.value("drop", m_faults.drop);
        m_faults.hang = json.value("hang", m_faults.hang);
        m_faults.platformDown = json.value("platform_down", m_faults.platformDown);
        m_faults.unreachableClients
                = json.value("unreachable_clients", m_faults.unreachableClients);
        if (json.value("snapshot", false))
            m_snapshot = m_store.snapshot();
        if (json.value("restore", false))
            m_store.restore(m_snapshot);
    }
    if (json.value("compact", false))
        m_store.compactHistory();
    if (json.value("end_watches", false))
        m_store.endWatches();
    if (json.contains("lapse_lease_of_key"))
        m_store.lapseLeaseOf(json.at("lapse_lease_of_key").get<std::string>());
    getFaults(request, response);
}

void PlatformServer::getFaults(const httplib::Request &, httplib::Response &response)
{
    const StoreFaults store = m_store.faults();
    const std::lock_guard lock(m_mutex);
    internal::reply(response, {{"down", store.down},
                               {"lose_answers", store.loseAnswers},
                               {"lose_requests", store.loseRequests},
                               {"reject", store.reject},
                               {"garbage_answers", store.corruptAnswers},
                               {"delay_ms", store.delay.count()},
                               {"drop", m_faults.drop},
                               {"hang", m_faults.hang},
                               {"platform_down", m_faults.platformDown},
                               {"unreachable_clients", m_faults.unreachableClients}});
}

void PlatformServer::getCalls(const httplib::Request &, httplib::Response &response)
{
    const StoreCalls calls = m_store.calls();
    const std::lock_guard lock(m_mutex);
    internal::reply(response, {{"ranges", calls.ranges},
                               {"commits", calls.commits},
                               {"lease_calls", calls.leaseCalls},
                               {"watches", calls.watches},
                               {"store_total", calls.total()},
                               {"over_limit", m_overLimit},
                               {"platform", m_calls}});
}

void PlatformServer::getReboots(const httplib::Request &, httplib::Response &response)
{
    const std::lock_guard lock(m_mutex);
    internal::Json json = internal::Json::array();
    for (const RebootRecord &it : m_instances.reboots()) {
        json.push_back({{"name", it.name},
                        {"started_ms", internal::millisecondsSinceEpoch(it.started)},
                        {"finished_ms", internal::millisecondsSinceEpoch(it.finished)}});
    }
    internal::reply(response, {{"reboots", std::move(json)}});
}

} // namespace dragonflysill
