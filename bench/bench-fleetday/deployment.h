#pragma once

#include "dragonflysill/contracts/configuration.h"

#include <string>
#include <vector>

namespace dragonflysill {

/** How spare capacity and maintenance are organized; everything else is the same for both. */
enum class Policy {
    Shared, ///< One shared buffer in the spare pool and one wave over all pools.
    Baseline, ///< Static spares in each pool; one wave and one instance at a time.
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
    ByName<int> needed; ///< By pool: serving instances that the availability budget requires.
    ByName<int> regular; ///< By pool: instances without the static spares of the baseline.
};

/** Maximum number of unavailable instances in each pool. */
inline constexpr int poolBudget = 2;

/** Declares five pools of 8 to 12 instances, four to a rack, and the buffer of the policy. */
DeploymentConfiguration declareDeployment(const Deployment &deployment, Policy policy);

} // namespace dragonflysill
