#include "dragonflysill/telemetry/log.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>

namespace dragonflysill {

namespace internal {

std::string formatFields(std::string_view event, std::initializer_list<LogField> fields)
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
    auto logger = std::make_shared<spdlog::logger>(
            std::string(process), std::make_shared<spdlog::sinks::stderr_sink_mt>());
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","process":"%n",%v})");
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

void logState(std::string_view event, std::initializer_list<LogField> fields)
{
    spdlog::info("{}", internal::formatFields(event, fields));
}

void logDecision(std::string_view event, std::initializer_list<LogField> fields)
{
    spdlog::debug("{}", internal::formatFields(event, fields));
}

bool logsDecisions()
{
    return spdlog::should_log(spdlog::level::debug);
}

void logWarning(std::string_view event, std::initializer_list<LogField> fields)
{
    spdlog::warn("{}", internal::formatFields(event, fields));
}

} // namespace dragonflysill
