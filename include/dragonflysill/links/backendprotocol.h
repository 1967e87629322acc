#pragma once

#include <httplib.h>

#include <cstddef>

namespace dragonflysill {

/**
 * The client side of HTTP/1.1 over a given stream. The HTTP library writes the request and parses
 * the response; this class rejects responses whose end is ambiguous, since a misjudged end would
 * give a caller another caller's bytes. Used for one request at a time.
 */
class BackendProtocol : private httplib::ClientImpl
{
public:
    /** Larger response heads are refused. */
    static constexpr std::size_t headLimit = 64UL * 1024;
    /** Larger response bodies are refused. */
    static constexpr std::size_t bodyLimit = 64UL * 1024 * 1024;

    BackendProtocol();

    /**
     * Sends a request and reads its response.
     * @param stream where to write and read
     * @param request the request; the library adds headers that it lacks, such as Content-Length
     * @param response receives the response
     * @return true if the response is complete
     */
    bool exchange(httplib::Stream &stream, httplib::Request &request, httplib::Response &response);

    /** Returns true if the connection can carry another request after the last exchange. */
    [[nodiscard]] bool keepsConnection() const { return m_keepsConnection; }

private:
    bool m_keepsConnection = false;
};

} // namespace dragonflysill
