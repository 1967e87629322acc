#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/base/time.h"
#include "dragonflysill/links/claimbatcher.h"
#include "dragonflysill/standin/memorystore.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflysill {

/** The alternatives of docs/design.md, "Request path". */
enum class ClaimDesign {
    WritePerRequest, ///< (a) one transaction for each request.
    OwnerGroups, ///< (b) an owner for each key, which commits in groups.
    EntryGroups, ///< (c) each entry process commits its own claims in groups.
};

/** The settings of a ClaimSimulation. */
struct SimulationSettings
{
    ClaimDesign design = ClaimDesign::EntryGroups;
    std::size_t requests = 20000;
    double ratePerSecond = 400; ///< Of all entry processes together.
    std::size_t entries = 8;
    double repeatShare = 0.2; ///< Requests that are repeated through another entry process.
    bool withFaults = false;
    std::chrono::milliseconds groupDelay{0};
    std::uint64_t seed = 1;
};

/** The results of a simulation. */
struct SimulationResult
{
    std::int64_t storeCalls = 0;
    std::int64_t attempts = 0; ///< Requests and repetitions.
    std::int64_t answered = 0;
    std::int64_t notRun = 0;
    std::int64_t unknown = 0; ///< Duplicates and attempts without an answer.
    std::int64_t runTwice = 0; ///< Keys that ran more than once.
    std::int64_t falseNotRun = 0; ///< Attempts that were told "not run" and ran.
    std::int64_t unknownCommits = 0;
    double p50Ms = 0; ///< Time until a grant.
    double p99Ms = 0;
};

/**
 * Simulates entry processes that claim idempotency keys, on a fake clock. With faults, entry
 * processes are paused and killed, and the store is down, loses requests and loses answers. The
 * execution of a request is counted where a real entry process would send it.
 */
class ClaimSimulation
{
public:
    explicit ClaimSimulation(SimulationSettings settings);
    ~ClaimSimulation();

    /** Runs the simulation to its end. */
    SimulationResult run();

private:
    struct Attempt
    {
        std::size_t key = 0;
        TimePoint arrived;
        TimePoint deadline;
        ClaimEntry claim;
        bool ran = false;
        bool decided = false;
    };

    struct Entry
    {
        std::unique_ptr<ClaimBatcher> batcher;
        int incarnation = 0;
        TimePoint pausedUntil{};
        std::map<ClaimId, std::size_t> attempts;
        std::optional<TimePoint> tick; ///< When a tick is already scheduled.
    };

    void at(TimePoint time, std::function<void()> event);
    void planArrivals();
    void planFaults();
    void arrive(std::size_t entry, std::size_t key);
    void claimAlone(std::size_t attempt);
    void apply(std::size_t entry, ClaimActions actions);
    void call(std::size_t entry, const ClaimAction &action);
    void whenAwake(std::size_t entry, int incarnation, const std::function<void()> &event);
    void scheduleTick(std::size_t entry);
    void restart(std::size_t entry);
    void granted(std::size_t entry, ClaimId id);
    void takeOver(std::size_t entry);
    [[nodiscard]] std::size_t ownerOf(std::size_t key) const;
    [[nodiscard]] Duration latency();
    void tellNotRun(Attempt &attempt);

    const SimulationSettings m_settings;
    Random m_random;
    TimePoint m_now{std::chrono::hours(1)};
    MemoryStore m_store{[this] { return m_now; }};
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<Entry> m_entries;
    std::vector<Attempt> m_attempts;
    std::map<std::size_t, int> m_runs; ///< By key.
    std::vector<Duration> m_grantTimes;
    SimulationResult m_result;
    ClaimId m_nextId = 1;
};

} // namespace dragonflysill
