#include "dragonflysill/store/workerclient.h"

#include "httpcaller.h"

#include <utility>

namespace dragonflysill {

namespace internal {

/** The platform's whole task list at the design scale stays below this. */
constexpr std::size_t maxPlatformAnswerBytes = 64UL * 1024 * 1024;

Result<nlohmann::json> toJsonResult(const Result<HttpAnswer> &answer, const std::string &path)
{
    if (!answer) {
        const bool isBefore = answer.error().is(ErrorKind::StoreUnavailable);
        return Error(isBefore ? ErrorKind::Unreachable : ErrorKind::OutcomeUnknown, path);
    }
    if (answer->status == 404)
        return Error(ErrorKind::NotFound, path);
    if (answer->status == 409)
        return Error(ErrorKind::Conflict, path + ": " + answer->body);
    if (answer->status == 503)
        return Error(ErrorKind::Unreachable, path + " answered 503");
    if (answer->status != 200)
        return Error(ErrorKind::OutcomeUnknown,
                     path + " answered " + std::to_string(answer->status));
    auto json = nlohmann::json::parse(answer->body, nullptr, false);
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
                    internal::maxPlatformAnswerBytes,
                    maxIdleConnections})
    {
    }

    Result<nlohmann::json> get(const std::string &path)
    {
        return internal::toJsonResult(m_caller.call("GET", path, {}), path);
    }

    Result<PlatformTask> post(const std::string &path, const nlohmann::json &body)
    {
        const auto answer = m_caller.call("POST", path, body.dump());
        return internal::decodeField<PlatformTask>(internal::toJsonResult(answer, path), "task");
    }

    Result<PlatformTask> change(std::string_view id, const char *verb)
    {
        return post("/platform/tasks/" + std::string(id) + "/" + verb, nlohmann::json::object());
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
    return m_implementation->change(id, "renew");
}

Result<PlatformTask> WorkerClient::checkpoint(std::string_view id)
{
    return m_implementation->change(id, "checkpoint");
}

Result<PlatformTask> WorkerClient::throttle(std::string_view id)
{
    return m_implementation->change(id, "throttle");
}

Result<PlatformTask> WorkerClient::stop(std::string_view id)
{
    return m_implementation->change(id, "stop");
}

} // namespace dragonflysill
