#pragma once

#include "dragonflysill/jobs/scheduler.h"

#include <span>
#include <string>

namespace dragonflysill {

/** Logs the jobs so far of the teams that were beyond their rate, if there are any. */
void logTeamRates(const TeamRates &rates);

/** Logs what the teams that are closest to their ceilings may have running; nothing without any. */
void logTeamUse(const TeamUsage &teams);

/** Logs steps that can never start because they need more than the ceiling of their team. */
void logCeilingExcesses(std::span<const CeilingExcess> excesses);

/** Explains to operators why a job waits for its team's ceiling; returns nothing if it does not. */
std::string ceilingReason(const Scheduler &scheduler, const JobRun &job);

} // namespace dragonflysill
