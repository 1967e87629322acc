#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/links/requesthandler.h"

#include <httplib.h>

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace dragonflysill {

/** HTTP server that passes each request of a caller to the handler. Owns its threads. */
class EntryServer : private httplib::Server
{
public:
    /**
     * @param handler belongs to the caller and must outlive the server
     * @param workers the largest number of threads, each of which serves one connection
     */
    EntryServer(RequestHandler &handler, std::size_t workers);
    ~EntryServer() override;

    /**
     * Binds the address and starts serving in the background.
     * @param address "IP:PORT"; port 0 chooses a free one
     * @return the port, or Unreachable if the address cannot be bound
     */
    Result<int> start(const std::string &address);

    /** Makes each connection close after its next response, which has "Connection: close". */
    void disableKeepAlive() { m_keepAliveDisabled = true; }

    /** Stops accepting connections, finishes the requests in flight and joins the threads. */
    void shutDownGracefully();

private:
    void configure(std::size_t workers);
    void addHandlers();
    bool process_and_close_socket(socket_t socket) override;
    void closeAfterResponse(httplib::Response &response);
    HandlerResponse validateRequest(const httplib::Request &request, httplib::Response &response);
    void serve(const httplib::Request &request, httplib::Response &response);
    void completeErrorResponse(const httplib::Request &request, httplib::Response &response);

    RequestHandler &m_handler;
    std::atomic<std::size_t> m_waiting = 0; ///< Connections that are waiting for a thread.
    std::atomic<bool> m_keepAliveDisabled = false;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace dragonflysill
