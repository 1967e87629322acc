#pragma once

#include "dragonflysill/contracts/configuration.h"

#include <string>
#include <vector>

namespace dragonflysill {

/** How capacity is held and maintained; the rest of the day is the same for both. */
enum class Policy {
    Shared, ///< One buffer in the spare pool, one wave over all pools.
    Baseline, ///< Static spares in each pool, one wave at a time, one instance at a time.
};

/** A deployment of docs/design.md, section 1. */
struct Deployment
{
    std::string name;
    int zones = 3;
    std::string sparePool;
};

/** The configuration of a deployment under a policy. */
struct DeploymentConfiguration
{
    Configuration configuration;
    ByName<int> needed; ///< By pool: serving instances below which its budget is exceeded.
    ByName<int> regular; ///< By pool: instances without the static spares of the baseline.
};

/** Instances that each pool may have unavailable. */
inline constexpr int poolBudget = 2;

/** Declares five pools of 8 to 12 instances, four to a rack, and the buffer of the policy. */
DeploymentConfiguration declareDeployment(const Deployment &deployment, Policy policy);

} // namespace dragonflysill
