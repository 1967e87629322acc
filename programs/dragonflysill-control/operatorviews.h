#pragma once

#include "dragonflysill/machines/fleetstatus.h"
#include "dragonflysill/zones/memberreport.h"
#include "dragonflysill/zones/view.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace dragonflysill {

/** Input of the documents that the operators' interface returns. */
struct OperatorState
{
    ViewPointer view;
    std::vector<MemberReport> reports;
    FleetStatus fleet; ///< Merged from all control processes that answered.
    std::vector<std::string> unreachable; ///< Control processes that did not answer.
};

/** Returns every pool with its availability budget and the phases of its instances. */
nlohmann::json poolsDocument(const View &view);

/** Returns every instance with its current pool and the pool in which it is declared. */
nlohmann::json instancesDocument(const View &view);

/** Returns the members and the registered entries, each with its newest report. */
nlohmann::json membersDocument(const View &view, std::span<const MemberReport> reports);

/**
 * Explains the state of an instance: its declaration, its record, its open move and the remedy.
 * Returns std::nullopt if it is unknown.
 */
std::optional<nlohmann::json> explainInstance(const OperatorState &state, const std::string &name);

/**
 * Explains the state of a pool: its budget, open moves and maintenance orders. Returns std::nullopt
 * if it is unknown.
 */
std::optional<nlohmann::json> explainPool(const OperatorState &state, const std::string &name);

/**
 * Explains the state of a job: its placement and the use of its team's quota. Returns std::nullopt
 * if it is unknown.
 */
std::optional<nlohmann::json> explainJob(const OperatorState &state, const std::string &name);

} // namespace dragonflysill
