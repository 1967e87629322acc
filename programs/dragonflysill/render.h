#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflysill {

/** Returns the rows as text with aligned columns. The first row may be a heading. */
std::string renderTable(const std::vector<std::vector<std::string>> &rows);

/** Returns a time in milliseconds since the Unix epoch in UTC, for example 2026-12-04T05:33:00Z. */
std::string renderTime(std::int64_t unixMs);

/** Returns a field as text; empty if it is missing or null. */
std::string fieldText(const nlohmann::json &object, const char *field);

std::string renderOutcome(const nlohmann::json &document);
std::string renderTicket(const nlohmann::json &document);
std::string renderHistory(const nlohmann::json &document);
std::string renderRollout(const nlohmann::json &rollout);
std::string renderPools(const nlohmann::json &document);
std::string renderInstances(const nlohmann::json &document);
std::string renderMoves(const nlohmann::json &document);
std::string renderMaintenance(const nlohmann::json &document);
std::string renderJobs(const nlohmann::json &document);
std::string renderStatus(const nlohmann::json &document);
std::string renderExplanation(const nlohmann::json &document);

/** Returns the scalars of a document line by line, followed by its lists as tables. */
std::string renderDocument(const nlohmann::json &document);

/** Returns the error of an answer with all its problems and conflicts. */
std::string renderError(const nlohmann::json &document);

} // namespace dragonflysill
