#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace dragonflysill::internal {

/** Body of a received message; takes memory for what has arrived and not for what is announced. */
struct ReceivedBody
{
    using value_type = std::string;

    static std::uint64_t size(const value_type &body) { return body.size(); }

    // NOLINTNEXTLINE(readability-identifier-naming): the HTTP library looks for this name.
    class reader
    {
    public:
        template <bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields> &, value_type &body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &length, boost::beast::error_code &ec)
        {
            ec = {};
            if (length)
                m_announced = static_cast<std::size_t>(*length);
        }

        template <class Buffers>
        std::size_t put(const Buffers &buffers, boost::beast::error_code &ec)
        {
            ec = {};
            std::size_t n = 0;
            for (const boost::asio::const_buffer it : boost::beast::buffers_range_ref(buffers)) {
                grow(m_body.size() + it.size());
                m_body.append(static_cast<const char *>(it.data()), it.size());
                n += it.size();
            }
            return n;
        }

        void finish(boost::beast::error_code &ec) { ec = {}; }

    private:
        /** Doubles the memory as needed, but not beyond the length that was announced. */
        void grow(std::size_t needed)
        {
            if (needed <= m_body.capacity())
                return;
            // A string that has memory at least doubles it, whatever is reserved.
            value_type larger;
            larger.reserve(std::max(needed, std::min(std::bit_ceil(needed), m_announced)));
            larger.append(m_body);
            m_body.swap(larger);
        }

        value_type &m_body;
        std::size_t m_announced = std::numeric_limits<std::size_t>::max();
    };
};

/** Limits on a message that is read, in bytes. */
struct MessageLimits
{
    std::size_t header = 0;
    std::uint64_t body = 0;
    std::size_t read = 0; ///< Read at once; enough for most messages.
};

/**
 * Bytes of chunk lines and trailers that a chunked body may have besides those that chunks of one
 * byte need. The HTTP library limits neither the trailers nor a chunk line that has no end yet.
 */
constexpr std::size_t maxFramingBytes = 16384;
/** Bytes of chunk lines for each byte of the body; chunks of one byte need five to eight. */
constexpr std::size_t framingBytesPerBodyByte = 8;
/** Memory of a parsed header field besides its text; the library allocates each one by itself. */
constexpr std::size_t fieldBytes = 96;

/**
 * Reads messages from a connection, one after the other, with a bound on the memory. The header is
 * not parsed before it is complete, because parsed fields may take many times the memory of their
 * text, and because the library does not count lines that it has parsed towards the limit.
 */
template <bool isRequest>
class MessageReader
{
public:
    using ErrorCode = boost::beast::error_code;
    using Message = boost::beast::http::message<isRequest, ReceivedBody>;

    explicit MessageReader(const MessageLimits &limits) { start(limits); }

    /** Begins the next message; bytes that were received after the last one belong to it. */
    void start(const MessageLimits &limits)
    {
        m_limits = limits;
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(limits.header));
        m_parser->body_limit(limits.body);
        m_searchedBytes = 0;
        m_headerEnd = 0;
        m_parsedBytes = 0;
        m_fieldBytes = 0;
        // A buffer that has grown for a large header is not kept while the connection is idle.
        if (m_buffer.size() == 0 && m_buffer.capacity() != limits.read) {
            m_buffer = {};
            m_buffer.reserve(limits.read);
        }
        m_buffer.max_size(maxBufferedBytes() + limits.read);
    }

    /** Returns where the next bytes are received. */
    boost::asio::mutable_buffer space()
    {
        const auto room = m_buffer.capacity() - m_buffer.size();
        return m_buffer.prepare(
                std::min(room > 0 ? room : m_limits.read, m_buffer.max_size() - m_buffer.size()));
    }

    /**
     * Parses what has been received.
     * @param received bytes that were added to space()
     * @return no error if the message is complete, need_more if bytes are missing; header_limit or
     * body_limit if a limit is exceeded, or the error of a malformed message
     */
    ErrorCode parse(std::size_t received)
    {
        m_buffer.commit(received);
        if (!findHeaderEnd())
            return needMore(boost::beast::http::error::header_limit);
        while (m_buffer.size() > 0 && !m_parser->is_done()) {
            // In one call for header and body the library loses the error of a body that is too
            // long.
            m_parser->eager(m_parser->is_header_done());
            ErrorCode ec;
            const auto n = m_parser->put(m_buffer.data(), ec);
            m_buffer.consume(n);
            m_parsedBytes += n;
            if (ec == boost::beast::http::error::need_more)
                break;
            if (ec)
                return ec;
        }
        if (m_parser->is_done())
            return {};
        const auto bodyBytes = m_parser->get().body().size();
        const auto framingBytes = m_parsedBytes + m_buffer.size() - m_headerEnd - bodyBytes;
        if (framingBytes > maxFramingBytes + framingBytesPerBodyByte * bodyBytes)
            return boost::beast::http::error::body_limit;
        return needMore(boost::beast::http::error::body_limit);
    }

    /** Ends a message whose length is given by the end of the connection; returns its error. */
    ErrorCode end()
    {
        ErrorCode ec = boost::beast::http::error::end_of_stream;
        if (m_parser->got_some())
            m_parser->put_eof(ec);
        return ec;
    }

    /** Gives up the message and frees its memory except space(), which may still be in use. */
    void clearMessage()
    {
        m_parser.emplace();
        m_fieldBytes = 0;
    }

    /** Gives up the message and frees all memory. */
    void clear()
    {
        clearMessage();
        m_buffer = boost::beast::flat_buffer();
    }

    /** Returns the message, which is complete. */
    Message release() { return m_parser->release(); }

    [[nodiscard]] bool headerComplete() const { return m_headerEnd != 0; }

    /** Returns the number of received bytes that have not been parsed. */
    [[nodiscard]] std::size_t bufferedBytes() const { return m_buffer.size(); }

    /** Returns the memory of the body. */
    [[nodiscard]] std::size_t bodyBytes() const { return m_parser->get().body().capacity(); }

    /** Returns the memory held for the message and for bytes after it. */
    [[nodiscard]] std::size_t heldBytes() const
    {
        return m_buffer.capacity() + m_fieldBytes + m_parser->get().body().capacity();
    }

private:
    /** Returns the maximum of received bytes that the parser can't take yet. */
    [[nodiscard]] std::size_t maxBufferedBytes() const
    {
        return std::max(m_limits.header, maxFramingBytes);
    }

    ErrorCode needMore(boost::beast::http::error limitExceeded) const
    {
        const auto limit = headerComplete() ? maxBufferedBytes() : m_limits.header;
        return m_buffer.size() < limit ? boost::beast::http::error::need_more : limitExceeded;
    }

    bool findHeaderEnd()
    {
        static constexpr std::string_view end = "\r\n\r\n";
        if (headerComplete())
            return true;
        const std::string_view bytes(static_cast<const char *>(m_buffer.data().data()),
                                     m_buffer.size());
        const auto from = m_searchedBytes < end.size() ? 0 : m_searchedBytes - end.size();
        const auto found = bytes.find(end, from);
        m_searchedBytes = bytes.size();
        if (found == std::string_view::npos)
            return false;
        m_searchedBytes = 0;
        m_headerEnd = found + end.size();
        const auto header = bytes.substr(0, m_headerEnd);
        const auto lines = static_cast<std::size_t>(std::ranges::count(header, '\n'));
        m_fieldBytes = header.size() + lines * fieldBytes;
        return true;
    }

    MessageLimits m_limits;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::parser<isRequest, ReceivedBody>> m_parser;
    std::size_t m_searchedBytes = 0; ///< Received bytes without the end of the header.
    std::size_t m_headerEnd = 0; ///< Size of the header; 0 until it is complete.
    std::size_t m_parsedBytes = 0;
    std::size_t m_fieldBytes = 0;
};

} // namespace dragonflysill::internal
