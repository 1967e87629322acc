#include "controlcontext.h"
#include "controlmetrics.h"
#include "fleetloop.h"
#include "operatorapi.h"

#include "dragonflysill/base/hash.h"
#include "dragonflysill/store/storeclient.h"
#include "dragonflysill/telemetry/adminserver.h"
#include "dragonflysill/telemetry/log.h"
#include "dragonflysill/telemetry/settings.h"
#include "dragonflysill/telemetry/stopsignal.h"
#include "dragonflysill/zones/zoneservice.h"

#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace dragonflysill {
namespace {

struct Options
{
    std::string name;
    std::string region = "region-1";
    std::string zone;
    std::string store = "127.0.0.1:2379";
    std::string platform = "127.0.0.1:2380";
    std::string peerListen = "127.0.0.1:7401";
    std::string operatorListen = "127.0.0.1:7402";
    std::string adminListen = "127.0.0.1:7403";
    std::string entryAddress;
    std::string entryAdminAddress;
    std::string peers;
    std::string logLevel = "info";
    std::int64_t leaseSeconds = 5;
};

void addOptions(Settings &settings, Options &options)
{
    settings.add("name", options.name, "Name of this entry instance")->required();
    settings.add("region", options.region, "Region of this instance");
    settings.add("zone", options.zone, "Availability zone of this instance")->required();
    settings.add("store", options.store, "Store endpoints (IP:PORT, separated by commas)");
    settings.addAddress("platform", options.platform, "Instance, worker and task interface");
    settings.addAddress("peer-listen", options.peerListen,
                        "Where peers and the entry process connect; also the registered address");
    settings.addAddress("operator-listen", options.operatorListen, "Operators' HTTP interface");
    settings.addAddress("admin-listen", options.adminListen, "Metrics, health and timeline");
    settings.addAddress("entry-address", options.entryAddress,
                        "Where the entry process of this instance accepts callers");
    settings.addAddress("entry-admin-address", options.entryAdminAddress,
                        "Metrics, health and timeline of the entry process");
    settings.add("peers", options.peers,
                 "Peer addresses for joining while the store is down (IP:PORT, separated by "
                 "commas)");
    settings.add("lease-s", options.leaseSeconds, "Time to live of the registration, in seconds")
            ->check(CLI::Range(2, 3600));
    settings.add("log-level", options.logLevel, "debug, info, warning or error");
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        if (!item.empty())
            items.push_back(item);
    }
    return items;
}

ZoneServiceSettings makeZoneSettings(const Options &options)
{
    ZoneServiceSettings settings;
    Member &self = settings.zone.self;
    self.name = options.name;
    self.region = options.region;
    self.zone = options.zone;
    self.operatorAddress = options.operatorListen;
    self.entryAddress = options.entryAddress;
    self.adminAddress = options.entryAdminAddress;
    settings.zone.seeds = splitList(options.peers);
    settings.zone.seed = stableHash(options.name);
    settings.listenAddress = options.peerListen;
    settings.leaseSeconds = options.leaseSeconds;
    return settings;
}

int fail(const Error &error)
{
    std::cerr << error.text() << '\n';
    return 1;
}

int runControl(const Options &options)
{
    const StopSignal stopSignal;
    startLogging(options.name, options.logLevel);
    auto registry = std::make_shared<prometheus::Registry>();
    Timeline timeline("control/" + options.name);
    StoreClientSettings storeSettings;
    storeSettings.endpoints = splitList(options.store);
    storeSettings.clientName = options.name;
    StoreClient store(storeSettings);
    SharedView view;
    MemberReports reports;
    Fence fence;
    ControlContext context{options.name,
                           options.region,
                           options.zone,
                           options.platform,
                           options.operatorListen,
                           store,
                           view,
                           reports,
                           fence,
                           timeline,
                           registry};

    AdminServer admin(registry, timeline);
    ZoneService zones(makeZoneSettings(options), store, view, reports, fence, timeline);
    zones.onReadinessChange([&admin](bool ready) { admin.setReady(ready); });
    ControlMetrics metrics(registry, zones, store);
    FleetLoop fleet(context);
    OperatorApi operators(context);

    timeline.record(EventKind::ProcessStarted, options.name, DRAGONFLYSILL_VERSION);
    if (const auto port = admin.start(options.adminListen); !port)
        return fail(port.error());
    if (const auto port = zones.start(); !port)
        return fail(port.error());
    if (const auto port = operators.start(); !port)
        return fail(port.error());
    metrics.start();
    fleet.start();

    stopSignal.wait();
    logInfo("process-stopping");
    timeline.record(EventKind::ProcessStopping, options.name);
    admin.setReady(false);
    operators.stop();
    fleet.stop();
    metrics.stop();
    zones.stop();
    admin.stop();
    return 0;
}

} // namespace
} // namespace dragonflysill

int main(int argc, char **argv)
{
    using namespace dragonflysill;
    Settings settings("dragonflysill-control",
                      "Runs membership, distribution, the operators' interface and fleet decisions "
                      "of an entry instance.",
                      DRAGONFLYSILL_VERSION);
    Options options;
    addOptions(settings, options);
    if (const auto code = settings.parse(argc, argv))
        return *code;
    return runControl(options);
}
