#pragma once

#include "dragonflysill/machines/fleetstatus.h"
#include "dragonflysill/store/fence.h"
#include "dragonflysill/store/store.h"
#include "dragonflysill/telemetry/timeline.h"
#include "dragonflysill/zones/memberreport.h"
#include "dragonflysill/zones/sharedview.h"

#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace dragonflysill {

/**
 * What the parts of a control process share. main() owns everything; the parts hold a reference and
 * end before it does.
 */
struct ControlContext
{
    std::string name; ///< Name of the entry instance.
    std::string region;
    std::string zone; ///< Availability zone.
    std::string platformAddress; ///< The platform's instance, worker and task interface.
    std::string operatorAddress; ///< Where the operators' interface listens.
    Store &store;
    SharedView &view;
    MemberReports &reports;
    Fence &fence;
    Timeline &timeline;
    std::shared_ptr<prometheus::Registry> registry;
    /** Written by FleetLoop after each decision, read by OperatorApi. */
    std::shared_ptr<FleetStatusHolder> fleetStatus = std::make_shared<FleetStatusHolder>();
};

} // namespace dragonflysill
