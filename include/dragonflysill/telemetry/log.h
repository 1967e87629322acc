#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace dragonflysill {

/** Name and value of a field of a log line. */
using LogField = std::pair<std::string_view, std::string>;

/**
 * Starts structured logging to standard error, one JSON object per line.
 * @param process the name of this process, a field of every line
 * @param level "debug", "info", "warning" or "error"
 */
void startLogging(std::string_view process, const std::string &level);

/**
 * Starts structured logging to standard output that never blocks: a line is dropped if the reader
 * of the output is too slow or if the rate limit is exceeded. The next written line holds the
 * number of dropped lines in the field "dropped".
 * @param process the name of this process, a field of every line
 * @param level "debug", "info", "warning" or "error"; at "debug" there is no rate limit
 */
void startBoundedLogging(std::string_view process, const std::string &level);

/** Returns the number of lines that startBoundedLogging() has dropped so far. */
std::uint64_t droppedLogLines();

/**
 * Writes a line at level "info", for a change of state. Events that occur per request are counted
 * in metrics instead.
 */
void logInfo(std::string_view event, std::initializer_list<LogField> fields = {});
void logInfo(std::string_view event, std::span<const LogField> fields);

/** Writes a line at level "debug", for frequent events such as single decisions. */
void logDebug(std::string_view event, std::initializer_list<LogField> fields = {});

/** Returns true if level "debug" is enabled. Callers skip building the fields otherwise. */
bool debugLogEnabled();

/** Writes a line at level "warning", for a change that an operator should look at. */
void logWarning(std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace dragonflysill
