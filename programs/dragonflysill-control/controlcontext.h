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
 * State that the components of a control process share. main() owns it; the components hold
 * references to it and are destroyed before it.
 */
struct ControlContext
{
    std::string name; ///< Name of the entry instance.
    std::string region;
    std::string zone; ///< Availability zone.
    std::string platformAddress; ///< IP:PORT of the platform's instance, worker and task interface.
    std::string operatorAddress; ///< IP:PORT on which the operators' interface listens.
    Store &store;
    SharedView &view;
    MemberReports &reports;
    Fence &fence;
    Timeline &timeline;
    std::shared_ptr<prometheus::Registry> registry;
    /** Written by FleetLoop after each pass, read by OperatorApi. */
    std::shared_ptr<FleetStatusHolder> fleetStatus = std::make_shared<FleetStatusHolder>();
};

} // namespace dragonflysill
