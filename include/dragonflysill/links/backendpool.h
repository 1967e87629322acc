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

/** Capacity of each backend server of a pool, and the entry processes that share it. */
struct BackendLimits
{
    int slots = 8; ///< Requests that a backend server runs at once.
    int connections = 64; ///< Connections that a backend server accepts at once.
    int entries = 1; ///< Entry processes that share the backend servers.

    bool operator==(const BackendLimits &) const = default;
};

/** An ejection or restoration of a backend server, for the timeline. */
struct HealthEvent
{
    std::string name;
    bool ejected = false; ///< True after an ejection, false after a restoration.
};

/**
 * Slot accounting and backend server selection for one pool of one entry process. Uses no lock,
 * clock or socket: the owner serializes the calls and passes the time.
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
     * Installs the records of the pool from a view. A backend server that is missing, is leaving or
     * has another epoch receives no new requests from then on.
     */
    void update(std::span<const InstanceRecord *const> records, const BackendLimits &limits,
                TimePoint now);

    /**
     * Chooses a backend server and counts the request on it.
     * @param excludedBackend a backend server to avoid if another is available, or -1
     * @param repeatable whether the request may be sent as the probe of a backend server
     * @return nothing if no backend server is available
     */
    std::optional<Assignment> assign(int excludedBackend, bool repeatable, TimePoint now);

    /**
     * Ends an attempt, frees its slot and updates the backend server's limit and health.
     * @return the ejection or restoration that this caused, if any
     */
    std::optional<HealthEvent> finish(const Assignment &assignment, AttemptResult result,
                                      bool freshConnection, TimePoint now);

    /** Sets the mean service time, from which the time until a slot becomes free is estimated. */
    void setServiceTime(Duration mean) { m_serviceTime = mean; }

    /** Returns the sum of the limits of all backend servers that accept requests. */
    [[nodiscard]] int totalLimit(TimePoint now);

    /** Returns the number of backend servers that accept requests according to the view. */
    [[nodiscard]] int acceptingCount() const;

    /** Returns the number of requests in flight on all backend servers. */
    [[nodiscard]] int inFlight() const;

    /** Returns the number of requests in flight on an instance, over all its epochs. */
    [[nodiscard]] int inFlightOn(std::string_view name) const;

private:
    struct Backend
    {
        std::string name;
        std::string address;
        std::int64_t epoch = 0;
        InstancePhase phase = InstancePhase::Serving;
        bool sameZone = false;
        bool isListed = true; ///< False if the newest view has no record of this epoch.
        int inFlight = 0;
        AdaptiveLimit limit{1, 1};
        SlowStart slowStart;
        BackendHealth health;

        [[nodiscard]] bool accepts() const;
    };

    using Backends = std::map<int, Backend>;

    void installRecord(const InstanceRecord &record, TimePoint now);
    void removeUnlisted();
    Backend *findBackend(const InstanceRecord &record);
    int limitOf(Backend &backend, TimePoint now) const;
    void updateLargestShare(TimePoint now);
    Duration refusalPause();
    void collectCandidates(int excludedBackend, bool repeatable, TimePoint now);
    bool canEject(TimePoint now);
    std::optional<HealthEvent> updateHealth(Backend &backend, AttemptResult result,
                                            bool freshConnection, TimePoint now);

    Selector m_selector;
    std::string m_zone;
    Random m_random;
    BackendLimits m_limits;
    Backends m_backends;
    /** Slow start shares are divided by the largest one, so that an all-new pool is fully used. */
    double m_largestShare = 1;
    Duration m_serviceTime{0};
    int m_nextId = 0;
    std::vector<Candidate> m_candidates; ///< A member to avoid an allocation per assignment.
};

} // namespace dragonflysill
