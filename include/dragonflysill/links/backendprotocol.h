#pragma once

#include <httplib.h>

#include <cstddef>

namespace dragonflysill {

/**
 * The client side of HTTP/1.1 over a given stream. The HTTP library writes the request and parses
 * the response. This class rejects responses whose length is ambiguous, because reading too few or
 * too many bytes would give one caller the bytes of another caller's response. Handles one request
 * at a time.
 */
class BackendProtocol : private httplib::ClientImpl
{
public:
    /** Largest size of a status line with headers, in bytes; larger ones are rejected. */
    static constexpr std::size_t headLimit = 64UL * 1024;
    /** Largest size of a response body, in bytes; larger ones are rejected. */
    static constexpr std::size_t bodyLimit = 64UL * 1024 * 1024;

    BackendProtocol();

    /**
     * Sends a request and reads its response.
     * @param stream the connection to the backend server
     * @param request the request; the library adds headers that it lacks, such as Content-Length
     * @param response receives the response
     * @return true if the response is complete
     */
    bool exchange(httplib::Stream &stream, httplib::Request &request, httplib::Response &response);

    /** Returns true if the connection can be reused for another request after the last one. */
    [[nodiscard]] bool canReuseConnection() const { return m_canReuseConnection; }

private:
    bool m_canReuseConnection = false;
};

} // namespace dragonflysill
