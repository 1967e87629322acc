#include "dragonflysill/links/responseparser.h"

#include "dragonflysill/links/headers.h"

#include <algorithm>
#include <charconv>

namespace dragonflysill {

namespace internal {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";
constexpr int noContent = 204;
constexpr int notModified = 304;

std::string_view trimSpaces(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/** Parses an unsigned number that fills the whole text. */
bool parseNumber(std::string_view text, int base, std::size_t &value)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return !text.empty() && result.ec == std::errc() && result.ptr == text.data() + text.size();
}

} // namespace internal

std::string_view BackendResponse::header(std::string_view name) const
{
    for (const auto &it : headers) {
        if (sameHeaderName(it.first, name))
            return it.second;
    }
    return {};
}

ResponseParser::State ResponseParser::feed(std::string_view bytes)
{
    if (m_state != State::Reading) {
        m_reusable = false;
        return m_state;
    }
    m_started = m_started || !bytes.empty();
    m_buffer.append(bytes);
    advance();
    return m_state;
}

ResponseParser::State ResponseParser::finish()
{
    m_reusable = false;
    if (m_state != State::Reading)
        return m_state;
    const bool complete = m_headDone && m_framing == Framing::UntilClose;
    m_state = complete ? State::Complete : State::Malformed;
    return m_state;
}

void ResponseParser::advance()
{
    while (!m_headDone) {
        if (!parseHead())
            return;
        const bool interim = m_response.status < 200;
        if (interim)
            m_response = {};
        else
            m_headDone = true;
    }
    if (m_state == State::Reading)
        readBody();
}

bool ResponseParser::parseHead()
{
    const auto end = m_buffer.find(internal::headEnd);
    if (end == std::string::npos) {
        if (m_buffer.size() > headLimit)
            fail(State::TooLarge);
        return false;
    }
    std::string_view head = std::string_view(m_buffer).substr(0, end);
    bool first = true;
    while (!head.empty() || first) {
        const auto lineLength = std::min(head.find(internal::lineEnd), head.size());
        const std::string_view line = head.substr(0, lineLength);
        if (!(first ? parseStatusLine(line) : parseHeaderLine(line))) {
            fail(State::Malformed);
            return false;
        }
        first = false;
        head.remove_prefix(std::min(head.size(), lineLength + internal::lineEnd.size()));
    }
    m_buffer.erase(0, end + internal::headEnd.size());
    if (m_response.status >= 200 && !chooseFraming()) {
        fail(State::Malformed);
        return false;
    }
    return true;
}

bool ResponseParser::parseStatusLine(std::string_view line)
{
    constexpr std::size_t statusStart = 9;
    constexpr std::size_t statusLength = 3;
    constexpr std::size_t lowestStatus = 100;
    constexpr std::size_t highestStatus = 599;
    if (!line.starts_with("HTTP/1.") || line.size() < statusStart + statusLength)
        return false;
    std::size_t status = 0;
    if (!internal::parseNumber(line.substr(statusStart, statusLength), 10, status))
        return false;
    if (line[7] == '0')
        m_reusable = false;
    m_response.status = static_cast<int>(status);
    return status >= lowestStatus && status <= highestStatus;
}

bool ResponseParser::parseHeaderLine(std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0 || !isSafeHeaderValue(line))
        return false;
    const std::string_view name = line.substr(0, colon);
    if (name.find_first_of(" \t") != std::string_view::npos)
        return false;
    m_response.headers.emplace_back(name, internal::trimSpaces(line.substr(colon + 1)));
    return true;
}

bool ResponseParser::chooseFraming()
{
    if (sameHeaderName(m_response.header("Connection"), "close"))
        m_reusable = false;
    const int status = m_response.status;
    if (m_headRequest || status == internal::noContent || status == internal::notModified)
        return true;
    bool hasLength = false;
    if (!readLengthHeader(hasLength))
        return false;
    const std::string_view encoding = m_response.header("Transfer-Encoding");
    if (!encoding.empty()) {
        m_framing = Framing::Chunked;
        return sameHeaderName(encoding, "chunked") && !hasLength;
    }
    m_framing = hasLength ? Framing::Length : Framing::UntilClose;
    return true;
}

bool ResponseParser::readLengthHeader(bool &found)
{
    for (const auto &it : m_response.headers) {
        if (!sameHeaderName(it.first, "Content-Length"))
            continue;
        std::size_t value = 0;
        if (!internal::parseNumber(it.second, 10, value) || (found && value != m_remaining))
            return false;
        m_remaining = value;
        found = true;
    }
    return true;
}

void ResponseParser::readBody()
{
    if (m_framing == Framing::Chunked)
        readChunks();
    else
        readFixedBody();
    if (m_response.body.size() > bodyLimit)
        fail(State::TooLarge);
}

void ResponseParser::readFixedBody()
{
    const bool bounded = m_framing != Framing::UntilClose;
    if (bounded && m_remaining > bodyLimit) {
        fail(State::TooLarge);
        return;
    }
    const std::size_t n = bounded ? std::min(m_remaining, m_buffer.size()) : m_buffer.size();
    m_response.body.append(m_buffer, 0, n);
    m_buffer.erase(0, n);
    if (!bounded)
        return;
    m_remaining -= n;
    if (m_remaining == 0)
        m_state = State::Complete;
}

void ResponseParser::readChunks()
{
    std::string line;
    while (m_state == State::Reading) {
        if (m_chunkPart == ChunkPart::Data) {
            if (!readChunkData())
                return;
            continue;
        }
        if (!takeLine(line))
            return;
        if (m_chunkPart == ChunkPart::Size && !readChunkSize(line))
            fail(State::Malformed);
        else if (m_chunkPart == ChunkPart::DataEnd)
            line.empty() ? void(m_chunkPart = ChunkPart::Size) : fail(State::Malformed);
        else if (m_chunkPart == ChunkPart::Trailer && line.empty())
            m_state = State::Complete;
    }
}

bool ResponseParser::readChunkSize(std::string_view line)
{
    constexpr int hexadecimal = 16;
    const std::string_view size = internal::trimSpaces(line.substr(0, line.find(';')));
    if (!internal::parseNumber(size, hexadecimal, m_remaining) || m_remaining > bodyLimit)
        return false;
    m_chunkPart = m_remaining == 0 ? ChunkPart::Trailer : ChunkPart::Data;
    return true;
}

bool ResponseParser::readChunkData()
{
    const std::size_t n = std::min(m_remaining, m_buffer.size());
    m_response.body.append(m_buffer, 0, n);
    m_buffer.erase(0, n);
    m_remaining -= n;
    if (m_response.body.size() > bodyLimit)
        fail(State::TooLarge);
    if (m_remaining == 0)
        m_chunkPart = ChunkPart::DataEnd;
    return m_remaining == 0;
}

bool ResponseParser::takeLine(std::string &line)
{
    const auto end = m_buffer.find(internal::lineEnd);
    if (end == std::string::npos) {
        if (m_buffer.size() > headLimit)
            fail(State::TooLarge);
        return false;
    }
    line.assign(m_buffer, 0, end);
    m_buffer.erase(0, end + internal::lineEnd.size());
    return true;
}

} // namespace dragonflysill
