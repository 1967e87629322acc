#include "dragonflysill/base/storekeys.h"
#include "dragonflysill/contracts/codec.h"
#include "dragonflysill/telemetry/benchreport.h"
#include "dragonflysill/zones/view.h"

#include <malloc.h>
#include <time.h>

#include <array>
#include <string>
#include <vector>

namespace dragonflysill {
namespace {

/** The size of a deployment. */
struct Scale
{
    std::string name;
    int pools;
    int instances;
};

/** A deployment of today, a tenth of the design scale, and the design scale. */
const std::array<Scale, 3> scales{{{"today", 6, 58}, {"tenth", 26, 2100}, {"design", 259, 21000}}};
constexpr int changes = 40;
/** 36,000 changes a day. */
constexpr double changesPerSecond = 36000.0 / 86400;
constexpr double megabyte = 1024.0 * 1024;
/** Reading a full state of the design scale, with all values changed, must not delay a heartbeat.
 */
constexpr double fullReadTargetMs = 1000;
/** A tenth of the limit of 4.5 % of a core, because the process has other tasks too. */
constexpr double viewCpuTargetPercent = 0.45;

double cpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    constexpr double nanoseconds = 1e9;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / nanoseconds;
}

double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

KeyUpdate recordUpdate(const Scale &scale, int n, std::int64_t revision)
{
    const std::string name = "instance-" + std::to_string(n);
    InstanceRecord record;
    record.name = name;
    record.address = "10.0." + std::to_string(n / 256) + "." + std::to_string(n % 256) + ":8080";
    record.zone = "zone-" + std::to_string(n % 7);
    record.rack = "rack-" + std::to_string(n / 4);
    record.pool = "pool-" + std::to_string(n % scale.pools);
    record.epoch = revision;
    return {storekeys::join(storekeys::instances, name), encodeRecord(record), revision, false};
}

KeyUpdate poolUpdate(const Scale &scale, int n, std::int64_t revision)
{
    Pool pool;
    pool.name = "pool-" + std::to_string(n);
    pool.ticket = revision;
    pool.maxUnavailable = 2;
    for (int k = n; k < scale.instances; k += scale.pools) {
        const std::string name = "instance-" + std::to_string(k);
        pool.instances.push_back({name, "10.0.0.1:8080", "zone-" + std::to_string(k % 7),
                                  "rack-" + std::to_string(k / 4)});
    }
    return {storekeys::join(storekeys::pools, pool.name), nlohmann::json(pool).dump(), revision,
            false};
}

std::vector<KeyUpdate> fullState(const Scale &scale)
{
    std::vector<KeyUpdate> updates{
            {std::string(storekeys::latestTicket), R"({"number":1,"id":"t"})", 1, false}};
    for (int n = 0; n < scale.pools; ++n)
        updates.push_back(poolUpdate(scale, n, 1));
    for (int n = 0; n < scale.instances; ++n)
        updates.push_back(recordUpdate(scale, n, 1));
    return updates;
}

bool measure(const Scale &scale, BenchReport &report)
{
    const auto updates = fullState(scale);
    const double heapBefore = heapBytes();
    const double start = cpuSeconds();
    ViewBuilder builder;
    bool ok = builder.replace(updates, 1).ok();
    const double full = cpuSeconds() - start;

    // The first change creates the second copy of the view; later changes update the two copies
    // alternately.
    const double startFirst = cpuSeconds();
    ok = builder.apply(std::array<KeyUpdate, 1>{recordUpdate(scale, 0, 2)}, 2).ok() && ok;
    const double first = cpuSeconds() - startFirst;
    const double heap = heapBytes() - heapBefore;

    const double startRecords = cpuSeconds();
    for (int n = 1; n <= changes; ++n) {
        const std::array<KeyUpdate, 1> change{recordUpdate(scale, n * 7 % scale.instances, n + 2)};
        ok = builder.apply(change, n + 2).ok() && ok;
    }
    const double perRecord = (cpuSeconds() - startRecords) / changes;
    const double startPools = cpuSeconds();
    for (int n = 0; n < changes; ++n) {
        const std::int64_t revision = changes + n + 3;
        const std::array<KeyUpdate, 1> change{poolUpdate(scale, n % scale.pools, revision)};
        ok = builder.apply(change, revision).ok() && ok;
    }
    const double perPool = (cpuSeconds() - startPools) / changes;

    constexpr double msPerSecond = 1000;
    constexpr double percent = 100;
    const std::string prefix = scale.name + ": ";
    report.add(prefix + "full state decoded", full * msPerSecond, "ms",
               BenchTarget{BenchTarget::Bound::AtMost, fullReadTargetMs});
    report.add(prefix + "first change", first * msPerSecond, "ms");
    report.add(prefix + "one instance record changed", perRecord * msPerSecond, "ms");
    report.add(prefix + "one pool changed", perPool * msPerSecond, "ms");
    report.add(prefix + "processor at 36,000 changes a day",
               std::max(perRecord, perPool) * changesPerSecond * percent, "% core",
               BenchTarget{BenchTarget::Bound::AtMost, viewCpuTargetPercent});
    report.add(prefix + "heap of both views and the raw state", heap / megabyte, "MB");
    return ok && builder.view()->instances.size() == static_cast<std::size_t>(scale.instances);
}

} // namespace
} // namespace dragonflysill

int main()
{
    using namespace dragonflysill;
    BenchReport report("capacity", 1);
    bool ok = true;
    for (const auto &it : scales)
        ok = measure(it, report) && ok;
    return report.write() && ok && report.allMet() ? 0 : 1;
}
