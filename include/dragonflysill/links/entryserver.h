#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/links/requesthandler.h"

#include <httplib.h>

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace dragonflysill {

/** Accepts callers' connections and passes each request to the handler. Owns its threads. */
class EntryServer : private httplib::Server
{
public:
    /**
     * @param handler belongs to the caller and must outlive the server
     * @param workers the largest number of connections that are served at once
     */
    EntryServer(RequestHandler &handler, std::size_t workers);
    ~EntryServer() override;

    /**
     * Binds and serves in threads of its own.
     * @param address "IP:PORT"; port 0 chooses a free one
     * @return the port, or Unreachable if the address cannot be bound
     */
    Result<int> start(const std::string &address);

    /** Closes each connection after its next response, and says so in the response. */
    void disableKeepAlive() { m_closing = true; }

    /** Stops accepting, finishes the requests in flight, and joins the threads. */
    void shutDownGracefully();

private:
    void configure(std::size_t workers);
    void addHandlers();
    bool process_and_close_socket(socket_t socket) override;
    void closeAfterResponse(httplib::Response &response);
    HandlerResponse check(const httplib::Request &request, httplib::Response &response);
    void serve(const httplib::Request &request, httplib::Response &response);
    void completeLibraryError(const httplib::Request &request, httplib::Response &response);

    RequestHandler &m_handler;
    std::atomic<std::size_t> m_waiting = 0; ///< Connections that wait for a thread.
    std::atomic<bool> m_closing = false;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace dragonflysill
