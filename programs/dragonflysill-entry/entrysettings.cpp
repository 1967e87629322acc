#include "entrysettings.h"

#include "dragonflysill/telemetry/settings.h"

namespace dragonflysill {

namespace internal {

constexpr const char *baselinePolicy = "baseline";

std::string checkViewSource(const EntrySettings &settings)
{
    if (settings.control.empty() && settings.viewFile.empty())
        return "give --control or --view-file";
    return {};
}

} // namespace internal

std::optional<int> EntrySettings::parse(int argc, const char *const *argv)
{
    Settings parser("dragonflysill-entry", "Proxies requests from callers to backend servers.",
                    DRAGONFLYSILL_VERSION);
    parser.add("name", name, "Name of this entry instance")->required();
    parser.add("region", region, "Region of this entry instance");
    parser.add("zone", zone, "Availability zone of this entry instance");
    parser.addAddress("listen", listen, "Address for callers")->required();
    parser.addAddress("admin-listen", adminListen, "Address for metrics, health and timeline")
            ->required();
    parser.addAddress("control", control, "Peer address of the control process on this instance");
    parser.addAddress("store", store,
                      "Address of the store; without it, requests with an idempotency key on "
                      "routes that are not repeatable are refused");
    parser.add("view-file", viewFile, "JSON array of {key,value} to use instead of --control");
    parser.add("policy", policy,
               "Backend server selection; baseline also queues first in, first out")
            ->check(CLI::IsMember({"least-of-two", "round-robin", "fixed-shares", "credits",
                                   internal::baselinePolicy}));
    parser.add("log-level", logLevel, "debug, info, warning or error");
    parser.add("workers", workers, "Largest number of caller connections served at once");
    parser.add("queue", queue, "Largest number of waiting requests per service");
    parser.add("stop-grace-ms", stopGraceMs,
               "Time between reporting not ready and refusing new connections, in ms");
    parser.add("seed", seed, "Seed of the random decisions");
    parser.app().callback([this] {
        if (const auto problem = internal::checkViewSource(*this); !problem.empty())
            throw CLI::ValidationError(problem);
    });
    return parser.parse(argc, argv);
}

DispatchSettings EntrySettings::dispatch() const
{
    DispatchSettings result;
    result.zone = zone;
    result.seed = seed;
    result.admission.queueCapacity = queue;
    if (policy == internal::baselinePolicy) {
        result.selector = RoundRobin();
        result.admission.order = QueueOrder::Arrival;
        result.admission.shedEarly = false;
    } else {
        result.selector = selectorByName(policy).value_or(LeastLoadedOfTwo());
    }
    return result;
}

} // namespace dragonflysill
