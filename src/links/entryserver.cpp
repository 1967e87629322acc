#include "dragonflysill/links/entryserver.h"

#include "dragonflysill/links/callerconnection.h"
#include "dragonflysill/links/httptranslation.h"
#include "workerthreads.h"

#include "dragonflysill/links/headers.h"
#include "dragonflysill/telemetry/httplistener.h"

#include <sys/socket.h>

namespace dragonflysill {

namespace internal {

// The library's backlog of 5 drops connection attempts of a burst; they are repeated after 1 s.
constexpr int acceptBacklog = 1024;
constexpr std::size_t statedRequests = 1'000'000;

/** Set by a handler to close the connection that the calling thread serves. */
thread_local bool closeConnection = false;

/**
 * Returns the request for changes. The library passes its own non-constant object by constant
 * reference, so the cast is valid.
 */
httplib::Request &changeable(const httplib::Request &request)
{
    return const_cast<httplib::Request &>(request);
}

} // namespace internal

EntryServer::EntryServer(RequestHandler &handler, std::size_t workers)
    : m_handler(handler)
{
    configure(workers);
    addHandlers();
}

EntryServer::~EntryServer()
{
    shutDownGracefully();
}

void EntryServer::configure(std::size_t workers)
{
    new_task_queue = [this, workers] { return new WorkerThreads(workers, m_waiting); };
    set_tcp_nodelay(true);
    set_payload_max_length(requestBodyLimit);
    // process_and_close_socket() decides; the library only states these in the Keep-Alive header.
    set_keep_alive_timeout(CallerConnection::idleLimit.count());
    set_keep_alive_max_count(internal::statedRequests);
}

void EntryServer::addHandlers()
{
    using httplib::Request;
    using httplib::Response;
    set_pre_routing_handler([this](const Request &q, Response &r) { return check(q, r); });
    set_error_handler(
            Handler([this](const Request &q, Response &r) { completeLibraryError(q, r); }));
    const Handler handler = [this](const Request &q, Response &r) { serve(q, r); };
    const std::string anyPath = "[\\s\\S]*";
    Post(anyPath, handler);
    Put(anyPath, handler);
    Patch(anyPath, handler);
    Delete(anyPath, handler);
}

httplib::Server::HandlerResponse EntryServer::check(const httplib::Request &request,
                                                    httplib::Response &response)
{
    hideRewrittenHeaders(internal::changeable(request));
    if (const auto failure = checkRequest(request)) {
        m_handler.fail(m_handler.requestIdOf(request), *failure, response);
        closeAfterResponse(response);
        return HandlerResponse::Handled;
    }
    const bool hasBody
            = request.has_header("Content-Length") || request.has_header("Transfer-Encoding");
    if (hasBody && request.method != "GET" && request.method != "HEAD"
        && request.method != "OPTIONS")
        return HandlerResponse::Unhandled; // The library reads the body, then calls serve().
    serve(request, response);
    return HandlerResponse::Handled;
}

bool EntryServer::process_and_close_socket(socket_t socket)
{
    CallerConnection connection(socket);
    bool keep = true;
    while (keep && connection.awaitRequest(m_stopping, m_waiting)) {
        bool callerCloses = false;
        internal::closeConnection = false;
        const bool closing = m_closing;
        const bool processed = process_request(connection, closing, callerCloses, nullptr);
        keep = connection.flush() && processed && !callerCloses && !closing
               && !internal::closeConnection;
    }
    return true;
}

void EntryServer::closeAfterResponse(httplib::Response &response)
{
    response.set_header("Connection", "close");
    internal::closeConnection = true;
}

void EntryServer::serve(const httplib::Request &request, httplib::Response &response)
{
    m_handler.serve(request, response);
}

void EntryServer::completeLibraryError(const httplib::Request &request, httplib::Response &response)
{
    if (response.has_header(headernames::outcome))
        return;
    constexpr int tooLarge = 413;
    const auto failure = response.status == tooLarge ? Failure::TooLarge : Failure::BadRequest;
    const int status = response.status;
    m_handler.fail(m_handler.requestIdOf(request), failure, response);
    response.status = status;
    closeAfterResponse(response);
}

Result<int> EntryServer::start(const std::string &address)
{
    auto port = bindExclusively(*this, address);
    if (!port)
        return port;
    if (::listen(svr_sock_, internal::acceptBacklog) != 0)
        return Error(ErrorKind::Unreachable, "cannot listen on " + address);
    m_thread = std::thread([this] { listen_after_bind(); });
    return port;
}

void EntryServer::shutDownGracefully()
{
    if (!m_thread.joinable())
        return;
    while (!is_running())
        std::this_thread::yield();
    m_closing = true;
    m_stopping = true;
    stop();
    m_thread.join();
}

} // namespace dragonflysill
