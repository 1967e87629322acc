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

bool isValidLength(std::string_view text)
{
    constexpr std::size_t maxDigits = 18; // More digits may not fit into 64 bits.
    return !text.empty() && text.size() <= maxDigits
           && std::all_of(text.begin(), text.end(), [](char ch) { return ch >= '0' && ch <= '9'; });
}

bool isToken(std::string_view name)
{
    constexpr std::string_view tokenSymbols = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [tokenSymbols](char ch) {
        const bool letter = (ch >= 'A' && ch <= 'Z') || (ch >= 'a' && ch <= 'z');
        return letter || (ch >= '0' && ch <= '9')
               || tokenSymbols.find(ch) != std::string_view::npos;
    });
}

/** The headers of a response that determine its length, collected in one pass. */
struct ResponseHead
{
    int contentLengths = 0;
    int transferEncodings = 0;
    bool chunked = false;
    bool closesConnection = false;
    bool valid = true; ///< False if a header is malformed or the body is too large.

    explicit ResponseHead(const httplib::Headers &headers)
    {
        for (const auto &it : headers)
            add(it.first, it.second);
    }

    /** Returns true if the length of the body is unambiguous (RFC 9112, section 6). */
    [[nodiscard]] bool isUnambiguous() const
    {
        if (transferEncodings > 0)
            return contentLengths == 0 && transferEncodings == 1 && chunked;
        return contentLengths <= 1;
    }

private:
    void add(const std::string &name, const std::string &value)
    {
        valid = valid && isToken(name) && isSafeHeaderValue(value);
        if (sameHeaderName(name, "Content-Length")) {
            ++contentLengths;
            valid = valid && isValidLength(value)
                    && std::stoull(value) <= BackendProtocol::bodyLimit;
        } else if (sameHeaderName(name, "Transfer-Encoding")) {
            ++transferEncodings;
            chunked = sameHeaderName(value, "chunked");
        } else if (sameHeaderName(name, "Connection")) {
            closesConnection = sameHeaderName(value, "close");
        }
    }
};

/** Fails reads when the status line and headers exceed the limit; the library limits only lines. */
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

bool isFinalStatus(int status)
{
    return status >= firstFinalStatus && status <= lastStatus;
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
    m_canReuseConnection = false;
    bool isNotModified = false;
    request.response_handler = [&](const httplib::Response &head) {
        limited.endHead();
        // A 304 has no body, but the library would wait for one until the deadline.
        isNotModified = head.status == internal::notModified;
        const internal::ResponseHead parsed(head.headers);
        return !isNotModified && internal::isFinalStatus(head.status) && parsed.valid
               && parsed.isUnambiguous();
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
    if (!done && !isNotModified)
        return false;
    const internal::ResponseHead head(response.headers);
    if (!head.valid || !head.isUnambiguous())
        return false;
    const bool hasNoBody
            = isNotModified || request.method == "HEAD" || response.status == internal::noContent;
    const bool framed = hasNoBody || head.chunked || head.contentLengths == 1;
    m_canReuseConnection = response.version == "HTTP/1.1" && !head.closesConnection && framed;
    return true;
}

} // namespace dragonflysill
