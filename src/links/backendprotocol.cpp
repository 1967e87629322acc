#include "dragonflysill/links/backendprotocol.h"

#include "dragonflysill/links/headers.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace dragonflysill {

namespace internal {

constexpr int firstFinalStatus = 200;
constexpr int lastStatus = 599;
constexpr int noContent = 204;
constexpr int notModified = 304;

bool isChunked(const httplib::Response &response)
{
    return sameHeaderName(response.get_header_value("Transfer-Encoding"), "chunked");
}

bool isLength(const std::string &text)
{
    constexpr std::size_t longestLength = 18; // digits that fit into 64 bits
    return !text.empty() && text.size() <= longestLength
           && std::all_of(text.begin(), text.end(), [](char ch) { return ch >= '0' && ch <= '9'; });
}

/** Returns true if the headers leave one way to find the end of the body (RFC 9112, section 6). */
bool isUnambiguous(const httplib::Response &response)
{
    const auto lengths = response.get_header_value_count("Content-Length");
    const auto encodings = response.get_header_value_count("Transfer-Encoding");
    if (encodings > 0)
        return lengths == 0 && encodings == 1 && isChunked(response);
    return lengths == 0 || (lengths == 1 && isLength(response.get_header_value("Content-Length")));
}

bool fitsBody(const httplib::Response &response)
{
    const std::string length = response.get_header_value("Content-Length");
    return length.empty() || std::stoull(length) <= BackendProtocol::bodyLimit;
}

/** Ends reading when a response's head is larger than the limit; the library limits only lines. */
class HeadLimitStream : public httplib::Stream
{
public:
    explicit HeadLimitStream(httplib::Stream &stream)
        : m_stream(stream)
    {
    }

    void endHead() { m_inHead = false; }

    bool is_readable() const override { return m_stream.is_readable(); }
    bool is_writable() const override { return m_stream.is_writable(); }

    ssize_t read(char *ptr, std::size_t size) override
    {
        const ssize_t n = m_stream.read(ptr, size);
        if (n > 0 && m_inHead)
            m_headBytes += static_cast<std::size_t>(n);
        return m_headBytes > BackendProtocol::headLimit ? -1 : n;
    }

    ssize_t write(const char *ptr, std::size_t size) override { return m_stream.write(ptr, size); }

    void get_remote_ip_and_port(std::string &ip, int &port) const override
    {
        m_stream.get_remote_ip_and_port(ip, port);
    }

    void get_local_ip_and_port(std::string &ip, int &port) const override
    {
        m_stream.get_local_ip_and_port(ip, port);
    }

    socket_t socket() const override { return m_stream.socket(); }

private:
    httplib::Stream &m_stream;
    std::size_t m_headBytes = 0;
    bool m_inHead = true;
};

bool isToken(std::string_view name)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [others](char ch) {
        const bool letter = (ch >= 'A' && ch <= 'Z') || (ch >= 'a' && ch <= 'z');
        return letter || (ch >= '0' && ch <= '9') || others.find(ch) != std::string_view::npos;
    });
}

bool hasSafeHeaders(const httplib::Response &response)
{
    return std::all_of(response.headers.begin(), response.headers.end(), [](const auto &it) {
        return isToken(it.first) && isSafeHeaderValue(it.second);
    });
}

bool hasNoBody(const httplib::Request &request, const httplib::Response &response)
{
    return request.method == "HEAD" || response.status == noContent
           || response.status == notModified;
}

} // namespace internal

BackendProtocol::BackendProtocol()
    : httplib::ClientImpl("backend")
{
    set_keep_alive(true);
    set_decompress(false);
    set_url_encode(false);
}

bool BackendProtocol::exchange(httplib::Stream &stream, httplib::Request &request,
                               httplib::Response &response)
{
    internal::HeadLimitStream limited(stream);
    bool endsAtHead = false;
    request.response_handler = [&](const httplib::Response &head) {
        limited.endHead();
        // The library would read a body that a 304 does not have, until the deadline.
        endsAtHead = head.status == internal::notModified;
        return !endsAtHead && head.status >= internal::firstFinalStatus
               && head.status <= internal::lastStatus && internal::isUnambiguous(head)
               && internal::fitsBody(head) && internal::hasSafeHeaders(head);
    };
    request.content_receiver
            = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
                  if (response.body.size() + size > bodyLimit)
                      return false;
                  response.body.append(data, size);
                  return true;
              };
    httplib::Error error = httplib::Error::Success;
    const bool done = process_request(limited, request, response, false, error);
    if (!done && !endsAtHead)
        return false;
    return internal::isUnambiguous(response) && internal::hasSafeHeaders(response);
}

bool BackendProtocol::keepsConnection(const httplib::Request &request,
                                      const httplib::Response &response)
{
    const bool closes = sameHeaderName(response.get_header_value("Connection"), "close");
    const bool framed = internal::hasNoBody(request, response) || internal::isChunked(response)
                        || response.has_header("Content-Length");
    return response.version == "HTTP/1.1" && !closes && framed;
}

} // namespace dragonflysill
