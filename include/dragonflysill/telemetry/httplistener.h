#pragma once

#include "dragonflysill/base/result.h"

#include <httplib.h>

#include <string>
#include <thread>

namespace dragonflysill {

/**
 * Binds a server to an address exclusively. By default the HTTP library lets several processes
 * share an address, and each of them then receives only part of the connections.
 * @param server the server to bind
 * @param address "IP:PORT"; port 0 selects a free port
 * @return the port; SettingsInvalid for a malformed address, Unreachable if binding fails
 */
Result<int> bindExclusively(httplib::Server &server, const std::string &address);

/** Runs an HTTP server in a separate thread. The server must outlive the listener. */
class HttpListener
{
public:
    explicit HttpListener(httplib::Server &server);
    ~HttpListener();

    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /**
     * Binds the address exclusively and serves requests.
     * @param address "IP:PORT"; port 0 selects a free port
     * @return the port; SettingsInvalid for a malformed address, Unreachable if binding fails
     */
    Result<int> start(const std::string &address);

    /** Stops the server and joins its thread; does nothing if it is not running. */
    void stop();

private:
    httplib::Server &m_server;
    std::thread m_thread;
};

} // namespace dragonflysill
