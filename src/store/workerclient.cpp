#include "dragonflysill/store/workerclient.h"

#include "httpcaller.h"

#include <utility>

namespace dragonflysill {

namespace internal {

/** Exceeds the platform's complete task list at the largest supported scale. */
constexpr std::size_t maxPlatformResponseBytes = 64UL * 1024 * 1024;

/** Maps error statuses to errors and parses the body of a successful response. */
Result<nlohmann::json> parseResponse(const Result<HttpResponse> &response, const std::string &path)
{
    if (!response) {
        const bool notExecuted = response.error().is(ErrorKind::StoreUnavailable);
        return Error(notExecuted ? ErrorKind::Unreachable : ErrorKind::OutcomeUnknown, path);
    }
    if (response->status == 404)
        return Error(ErrorKind::NotFound, path);
    if (response->status == 409)
        return Error(ErrorKind::Conflict, path + ": " + response->body);
    if (response->status == 503)
        return Error(ErrorKind::Unreachable, path + " returned HTTP status 503");
    if (response->status != 200)
        return Error(ErrorKind::OutcomeUnknown,
                     path + " returned HTTP status " + std::to_string(response->status));
    auto json = nlohmann::json::parse(response->body, nullptr, false);
    if (json.is_discarded())
        return Error(ErrorKind::Corrupt, path);
    return json;
}

template <typename T>
Result<T> decodeField(const Result<nlohmann::json> &json, const char *field)
{
    if (!json)
        return json.error();
    try {
        return json->at(field).get<T>();
    } catch (const nlohmann::json::exception &e) {
        return Error(ErrorKind::Corrupt, e.what());
    }
}

} // namespace internal

class WorkerClient::Implementation
{
public:
    explicit Implementation(const WorkerClientSettings &settings)
        : m_caller({{settings.address},
                    settings.clientName,
                    settings.callTimeout,
                    settings.callTimeout,
                    internal::maxPlatformResponseBytes,
                    maxIdleConnections})
    {
    }

    Result<nlohmann::json> get(const std::string &path)
    {
        return internal::parseResponse(m_caller.call("GET", path, {}), path);
    }

    Result<PlatformTask> post(const std::string &path, const nlohmann::json &body)
    {
        const auto response = m_caller.call("POST", path, body.dump());
        return internal::decodeField<PlatformTask>(internal::parseResponse(response, path), "task");
    }

    Result<PlatformTask> postAction(std::string_view id, const char *action)
    {
        return post("/platform/tasks/" + std::string(id) + "/" + action, nlohmann::json::object());
    }

private:
    static constexpr std::size_t maxIdleConnections = 4;

    internal::HttpCaller m_caller;
};

WorkerClient::WorkerClient(WorkerClientSettings settings)
    : m_implementation(std::make_unique<Implementation>(settings))
{
}

WorkerClient::~WorkerClient() = default;

Result<std::vector<PlatformWorker>> WorkerClient::workers()
{
    const auto json = m_implementation->get("/platform/workers");
    return internal::decodeField<std::vector<PlatformWorker>>(json, "workers");
}

Result<std::vector<PlatformTask>> WorkerClient::tasks()
{
    const auto json = m_implementation->get("/platform/tasks");
    return internal::decodeField<std::vector<PlatformTask>>(json, "tasks");
}

Result<PlatformTask> WorkerClient::start(std::string_view worker, const TaskStartRequest &task)
{
    return m_implementation->post("/platform/workers/" + std::string(worker) + "/tasks", task);
}

Result<PlatformTask> WorkerClient::renew(std::string_view id)
{
    return m_implementation->postAction(id, "renew");
}

Result<PlatformTask> WorkerClient::checkpoint(std::string_view id)
{
    return m_implementation->postAction(id, "checkpoint");
}

Result<PlatformTask> WorkerClient::throttle(std::string_view id)
{
    return m_implementation->postAction(id, "throttle");
}

Result<PlatformTask> WorkerClient::stop(std::string_view id)
{
    return m_implementation->postAction(id, "stop");
}

} // namespace dragonflysill
