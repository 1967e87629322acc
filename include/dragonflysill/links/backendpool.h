#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/links/adaptivelimit.h"
#include "dragonflysill/links/attempt.h"
#include "dragonflysill/links/backendhealth.h"
#include "dragonflysill/links/selection.h"
#include "dragonflysill/links/slowstart.h"
#include "dragonflysill/machines/instancerecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** How the backend servers of a pool are shared. */
struct BackendLimits
{
    int slots = 8; ///< Requests that a backend server runs at once.
    int connections = 64; ///< Connections that a backend server accepts at once.
    int entries = 1; ///< Entry processes that share the backend servers.

    bool operator==(const BackendLimits &) const = default;
};

/** A change of a backend server's health, for the timeline. */
struct HealthEvent
{
    std::string name;
    bool ejected = false; ///< True after an ejection, false after a restoration.
};

/**
 * Slot accounting and backend server selection for one pool of one entry process. Decision code:
 * no lock, clock or socket; the owner guards it and passes the time.
 */
class BackendPool
{
public:
    /**
     * @param selector the selection policy
     * @param zone the availability zone of this entry process
     * @param seed seed of the random choices
     */
    BackendPool(Selector selector, std::string zone, std::uint64_t seed);

    /**
     * Installs the records of the pool from a view. A backend server that is missing, leaving or
     * has another epoch receives no new work from now on.
     */
    void update(std::span<const InstanceRecord *const> records, const BackendLimits &limits,
                TimePoint now);

    /**
     * Chooses a backend server and counts the request on it.
     * @param exclude a backend server to avoid if another is available, or -1
     * @param repeatable whether the request may be sent to a backend server that is checked
     * @return nothing if no backend server is available
     */
    std::optional<Assignment> assign(int exclude, bool repeatable, TimePoint now);

    /** Ends an attempt and frees its slot. */
    std::optional<HealthEvent> finish(const Assignment &assignment, AttemptResult result,
                                      bool freshConnection, TimePoint now);

    /** Tells the usual service time, from which the time until a slot becomes free is derived. */
    void setServiceTime(Duration mean) { m_serviceTime = mean; }

    /** Returns the sum of the limits of all backend servers that accept work. */
    [[nodiscard]] int concurrency(TimePoint now);

    /** Returns the number of backend servers that accept work according to the view. */
    [[nodiscard]] int accepting() const;

    /** Returns the number of requests in flight on all backend servers. */
    [[nodiscard]] int inFlight() const;

    /** Returns the number of requests in flight on an instance, in all its epochs. */
    [[nodiscard]] int inFlightOn(std::string_view name) const;

private:
    struct Backend
    {
        std::string name;
        std::string address;
        std::int64_t epoch = 0;
        InstancePhase phase = InstancePhase::Serving;
        bool sameZone = false;
        bool present = true; ///< False if the newest view has no record of this epoch.
        int inFlight = 0;
        AdaptiveLimit limit{1, 1};
        SlowStart slowStart;
        BackendHealth health;

        [[nodiscard]] bool accepts() const;
    };

    using Backends = std::map<int, Backend>;

    void installRecord(const InstanceRecord &record, TimePoint now);
    void removeDeparted();
    Backend *findBackend(const InstanceRecord &record);
    int limitOf(Backend &backend, TimePoint now) const;
    void updateLargestShare(TimePoint now);
    Duration refusalPause();
    void collectCandidates(int exclude, bool repeatable, TimePoint now);
    bool mayEject(TimePoint now);
    std::optional<HealthEvent> noteHealth(Backend &backend, AttemptResult result,
                                          bool freshConnection, TimePoint now);

    Selector m_selector;
    std::string m_zone;
    Random m_random;
    BackendLimits m_limits;
    Backends m_backends;
    /** Slow start is relative to it: a pool that is all new must not lose its capacity. */
    double m_largestShare = 1;
    Duration m_serviceTime{0};
    int m_nextId = 0;
    std::vector<Candidate> m_candidates; ///< Reused, so that a decision does not allocate.
};

} // namespace dragonflysill
