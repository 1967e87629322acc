#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace dragonflysill {

/** A field of a log line. */
using LogField = std::pair<std::string_view, std::string>;

/**
 * Starts structured logging: one JSON object a line on standard error.
 * @param process the name of this process, part of every line
 * @param level "debug", "info", "warning" or "error"
 */
void startLogging(std::string_view process, const std::string &level);

/**
 * Starts structured logging on standard output without ever waiting for its reader: a line is
 * dropped when the reader is behind, or when there are more lines than the bound allows. The next
 * line that is written tells in "dropped" how many were.
 * @param process the name of this process, part of every line
 * @param level "debug", "info", "warning" or "error"; the bound does not apply to "debug"
 */
void startBoundedLogging(std::string_view process, const std::string &level);

/** Returns the lines that have been dropped so far. */
std::uint64_t droppedLogLines();

/** Logs a change of state. Counters, not lines, are for everything that happens per request. */
void logInfo(std::string_view event, std::initializer_list<LogField> fields = {});

/** Logs a single decision; only at the level "debug", because there are many. */
void logDebug(std::string_view event, std::initializer_list<LogField> fields = {});

/** Returns true if decisions are logged, so that their fields are worth building. */
bool debugLogEnabled();

/** Logs a change of state that an operator should look at. */
void logWarning(std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace dragonflysill
