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

/** Everything that the documents for operators are made from. */
struct OperatorState
{
    ViewPointer view;
    std::vector<MemberReport> reports;
    FleetStatus fleet; ///< Merged over all control processes that answered.
    std::vector<std::string> unreachable; ///< Control processes that did not answer.
};

/** Returns every pool with its budget and the phases of its instances. */
nlohmann::json poolsDocument(const View &view);

/** Returns every instance: where it is and where it is declared. */
nlohmann::json instancesDocument(const View &view);

/** Returns the members, the registered entries and what they reported. */
nlohmann::json membersDocument(const View &view, std::span<const MemberReport> reports);

/** Explains why an instance is as it is; nothing if it is unknown. */
std::optional<nlohmann::json> explainInstance(const OperatorState &state, const std::string &name);

/** Explains why a pool is as it is; nothing if it is unknown. */
std::optional<nlohmann::json> explainPool(const OperatorState &state, const std::string &name);

/** Explains why a job is as it is; nothing if it is unknown. */
std::optional<nlohmann::json> explainJob(const OperatorState &state, const std::string &name);

} // namespace dragonflysill
