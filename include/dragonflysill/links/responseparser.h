#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflysill {

/** A complete response of a backend server. */
struct BackendResponse
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /** Returns the first value of a header; empty if it is missing. */
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/**
 * Parses one HTTP/1.1 response (RFC 9112) from bytes as they arrive. Rejects what would make the
 * end of the response ambiguous, since a misjudged end would give a caller another caller's bytes.
 */
class ResponseParser
{
public:
    enum class State { Reading, Complete, Malformed, TooLarge };

    static constexpr std::size_t headLimit = 64UL * 1024;
    static constexpr std::size_t bodyLimit = 64UL * 1024 * 1024;

    /** @param headRequest true for the response to a HEAD request, which has no body */
    explicit ResponseParser(bool headRequest)
        : m_headRequest(headRequest)
    {
    }

    /** Adds received bytes. */
    State feed(std::string_view bytes);

    /** Notes that the backend server closed the connection. */
    State finish();

    [[nodiscard]] State state() const { return m_state; }

    /** Returns true if any byte was received. */
    [[nodiscard]] bool started() const { return m_started; }

    /** Returns true if the connection can carry another request after the complete response. */
    [[nodiscard]] bool reusable() const { return m_reusable && m_buffer.empty(); }

    /** Gives access to the response; complete only in state Complete. */
    BackendResponse &response() { return m_response; }

private:
    enum class Framing { None, Length, Chunked, UntilClose };
    enum class ChunkPart { Size, Data, DataEnd, Trailer };

    void advance();
    bool parseHead();
    bool parseStatusLine(std::string_view line);
    bool parseHeaderLine(std::string_view line);
    bool chooseFraming();
    bool readLengthHeader(bool &found);
    void readBody();
    void readFixedBody();
    void readChunks();
    bool readChunkSize(std::string_view line);
    bool readChunkData();
    bool takeLine(std::string &line);
    void fail(State state) { m_state = state; }

    const bool m_headRequest;
    State m_state = State::Reading;
    bool m_started = false;
    bool m_headDone = false;
    bool m_reusable = true;
    Framing m_framing = Framing::None;
    ChunkPart m_chunkPart = ChunkPart::Size;
    std::size_t m_remaining = 0; ///< Bytes of the body or of the chunk that are missing.
    std::string m_buffer; ///< Received bytes that are not parsed yet.
    BackendResponse m_response;
};

} // namespace dragonflysill
