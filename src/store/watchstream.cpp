#include "watchstream.h"

#include <utility>

namespace dragonflysill::internal {

namespace {

/** Stops reading while the caller is behind, so that memory stays bounded. */
constexpr std::size_t maxQueuedMessages = 256;

} // namespace

WatchStream::WatchStream(std::unique_ptr<httplib::Client> client, httplib::Headers headers,
                         const gateway::WatchRequest &request, std::size_t maxLineBytes)
    : m_client(std::move(client))
    , m_maxLineBytes(maxLineBytes)
{
    httplib::Request http;
    http.method = "POST";
    http.path = gateway::watchPath;
    http.headers = std::move(headers);
    http.headers.emplace("Content-Type", "application/json");
    http.body = gateway::encodeWatch(request).dump();
    m_thread = std::thread([this, http = std::move(http)]() mutable { run(std::move(http)); });
}

WatchStream::~WatchStream()
{
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
        m_changed.notify_all();
    }
    m_client->stop();
    m_thread.join();
}

void WatchStream::run(httplib::Request request)
{
    request.content_receiver
            = [this](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
                  return receive({data, size});
              };
    request.response_handler
            = [](const httplib::Response &response) { return response.status == 200; };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    m_client->send(request, response, error);
    push(Error(ErrorKind::StoreUnavailable, "the watch stream ended"));
}

bool WatchStream::receive(std::string_view data)
{
    for (;;) {
        const auto end = data.find('\n');
        m_line += data.substr(0, end);
        if (m_line.size() > m_maxLineBytes) {
            push(Error(ErrorKind::LimitExceeded, "a watch message is larger than the limit"));
            return false;
        }
        if (end == std::string_view::npos)
            return true;
        data.remove_prefix(end + 1);
        if (m_line.empty())
            continue;
        auto message = gateway::decodeWatchAnswer(m_line);
        m_line.clear();
        const bool valid = message.ok();
        if (!push(std::move(message)) || !valid)
            return false;
    }
}

bool WatchStream::push(Result<gateway::WatchResponse> message)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_closed || m_messages.size() < maxQueuedMessages; });
    if (m_closed)
        return false;
    m_messages.push_back(std::move(message));
    m_changed.notify_all();
    return true;
}

std::optional<Result<gateway::WatchResponse>> WatchStream::next(std::chrono::milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    if (!m_changed.wait_for(lock, timeout, [this] { return !m_messages.empty(); }))
        return std::nullopt;
    auto message = std::move(m_messages.front());
    m_messages.pop_front();
    m_changed.notify_all();
    return message;
}

} // namespace dragonflysill::internal
