#pragma once

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <sstream>
#include <string>
#include <utility>

namespace dragonflysill::test {

/** Collects the log lines that are written while it exists. */
class LogCapture
{
public:
    LogCapture()
        : m_previous(spdlog::default_logger())
    {
        auto sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(m_lines);
        spdlog::set_default_logger(std::make_shared<spdlog::logger>("", std::move(sink)));
    }
    ~LogCapture() { spdlog::set_default_logger(m_previous); }
    LogCapture(const LogCapture &) = delete;
    LogCapture &operator=(const LogCapture &) = delete;

    [[nodiscard]] std::string lines() const { return m_lines.str(); }

private:
    std::ostringstream m_lines;
    std::shared_ptr<spdlog::logger> m_previous;
};

} // namespace dragonflysill::test
