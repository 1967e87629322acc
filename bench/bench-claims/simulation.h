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
    WritePerRequest, ///< (a) One transaction for each request.
    OwnerGroups, ///< (b) One entry process owns each key and commits claims in batches.
    EntryGroups, ///< (c) Each entry process commits its own claims in batches.
};

/** The settings of a ClaimSimulation. */
struct SimulationSettings
{
    ClaimDesign design = ClaimDesign::EntryGroups;
    std::size_t requests = 20000;
    double ratePerSecond = 400; ///< Of all entry processes together.
    std::size_t entries = 8;
    double repeatShare = 0.2; ///< Share of requests repeated through another entry process.
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
    std::int64_t falseNotRun = 0; ///< Attempts that ran but were reported as not run.
    std::int64_t unknownCommits = 0;
    double p50Ms = 0; ///< Time from arrival to grant.
    double p99Ms = 0;
};

/**
 * Simulates entry processes that claim idempotency keys, on a virtual clock. With faults, entry
 * processes are paused and killed, and the store is down, loses requests and loses answers. A
 * request counts as run at the point where a real entry process would send it to a backend server.
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
        std::optional<TimePoint> tick; ///< Time of the next scheduled tick, if any.
    };

    void at(TimePoint time, std::function<void()> event);
    void scheduleArrivals();
    void scheduleFaults();
    void arrive(std::size_t entry, std::size_t key);
    void claimInOwnTransaction(std::size_t attempt);
    void apply(std::size_t entry, ClaimActions actions);
    void call(std::size_t entry, const ClaimAction &action);
    void runWhenNotPaused(std::size_t entry, int incarnation, const std::function<void()> &event);
    void scheduleTick(std::size_t entry);
    void restart(std::size_t entry);
    void granted(std::size_t entry, ClaimId id);
    void countTakeOverCalls(std::size_t entry);
    [[nodiscard]] std::size_t ownerOf(std::size_t key) const;
    [[nodiscard]] Duration latency();
    void reportNotRun(Attempt &attempt);

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
