#pragma once

#include "dragonflysill/base/result.h"

#include <httplib.h>

#include <string>
#include <thread>

namespace dragonflysill {

/**
 * Binds a server to an address that no other process may share. The HTTP library would allow it by
 * default, and two processes with the same address would then each get a part of the connections.
 * @param server the server to bind
 * @param address "IP:PORT"; port 0 chooses a free one
 * @return the port; SettingsInvalid or Unreachable if the address cannot be used
 */
Result<int> bindExclusively(httplib::Server &server, const std::string &address);

/** Runs an HTTP server in a thread of its own. The server belongs to the caller. */
class HttpListener
{
public:
    explicit HttpListener(httplib::Server &server);
    ~HttpListener();

    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /**
     * Binds and serves.
     * @param address "IP:PORT"; port 0 chooses a free one
     * @return the port; SettingsInvalid or Unreachable if the address cannot be used
     */
    Result<int> start(const std::string &address);

    /** Stops serving and joins the thread; does nothing if it was not started. */
    void stop();

private:
    httplib::Server &m_server;
    std::thread m_thread;
};

} // namespace dragonflysill
