#include "dragonflysill/telemetry/log.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <utility>

namespace dragonflysill {

namespace internal {

/** Sustained rate and burst of the lines that a process writes; the rate is about 15 KB/s. */
constexpr double maxLinesPerSecond = 70;
constexpr double maxBurstLines = 150;

std::atomic<std::uint64_t> droppedLines{0};

/** Writes to standard output; drops lines that would block or exceed the rate limit. */
class BoundedSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit BoundedSink(bool bounded)
        : m_bounded(bounded)
    {
    }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override // NOLINT
    {
        if (!takeToken(message.time) || !isWritable()) {
            ++droppedLines;
            ++m_unreportedDrops;
            return;
        }
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        std::string text(line.data(), line.size());
        if (m_unreportedDrops > 0) {
            const auto end = text.rfind('}');
            text.insert(end, ",\"dropped\":" + std::to_string(std::exchange(m_unreportedDrops, 0)));
        }
        // A pipe that polls as writable accepts a line of this size without blocking.
        if (::write(STDOUT_FILENO, text.data(), text.size()) < 0)
            ++droppedLines;
    }

    void flush_() override { } // NOLINT

private:
    bool takeToken(std::chrono::system_clock::time_point now)
    {
        if (!m_bounded)
            return true;
        const std::chrono::duration<double> elapsed = now - m_updated;
        m_updated = now;
        m_tokens = std::clamp(m_tokens + elapsed.count() * maxLinesPerSecond, m_tokens,
                              maxBurstLines);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    static bool isWritable()
    {
        pollfd descriptor{STDOUT_FILENO, POLLOUT, 0};
        return ::poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
    }

    bool m_bounded;
    double m_tokens = maxBurstLines;
    std::chrono::system_clock::time_point m_updated = std::chrono::system_clock::now();
    std::uint64_t m_unreportedDrops = 0;
};

void installLogger(std::string_view process, const std::string &level, const spdlog::sink_ptr &sink)
{
    auto logger = std::make_shared<spdlog::logger>(std::string(process), sink);
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","process":"%n",%v})");
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

std::string formatFields(std::string_view event, std::span<const LogField> fields)
{
    nlohmann::ordered_json json{{"event", event}};
    for (const auto &[name, value] : fields)
        json[std::string(name)] = value;
    std::string text = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return text.substr(1, text.size() - 2);
}

} // namespace internal

void startLogging(std::string_view process, const std::string &level)
{
    internal::installLogger(process, level, std::make_shared<spdlog::sinks::stderr_sink_mt>());
}

void startBoundedLogging(std::string_view process, const std::string &level)
{
    internal::installLogger(process, level,
                            std::make_shared<internal::BoundedSink>(level != "debug"));
}

std::uint64_t droppedLogLines()
{
    return internal::droppedLines;
}

void logInfo(std::string_view event, std::initializer_list<LogField> fields)
{
    logInfo(event, std::span(fields.begin(), fields.size()));
}

void logInfo(std::string_view event, std::span<const LogField> fields)
{
    spdlog::info("{}", internal::formatFields(event, fields));
}

void logDebug(std::string_view event, std::initializer_list<LogField> fields)
{
    spdlog::debug("{}", internal::formatFields(event, std::span(fields.begin(), fields.size())));
}

bool debugLogEnabled()
{
    return spdlog::should_log(spdlog::level::debug);
}

void logWarning(std::string_view event, std::initializer_list<LogField> fields)
{
    spdlog::warn("{}", internal::formatFields(event, std::span(fields.begin(), fields.size())));
}

} // namespace dragonflysill
