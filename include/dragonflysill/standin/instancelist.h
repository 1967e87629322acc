#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/base/time.h"

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** The state of an instance in the platform's list. */
enum class PlatformInstanceState { Live, Leaving, Terminated };

/** Returns "live", "leaving" or "terminated". */
std::string_view toText(PlatformInstanceState state);

/** One entry of the platform's instance list. */
struct PlatformInstance
{
    std::string name;
    std::string zone;
    std::string rack;
    std::string address; ///< IP and port of its server.
    PlatformInstanceState state = PlatformInstanceState::Live;

    bool operator==(const PlatformInstance &) const = default;
};

/** A reboot that the platform performed. */
struct RebootRecord
{
    std::string name;
    TimePoint started;
    TimePoint finished;
};

/**
 * Models the platform's instances with drain and reboot, and an instance list that lags behind the
 * actual state. Reads no clock: the time is a parameter and must not decrease. Not thread-safe.
 */
class InstanceList
{
public:
    InstanceList(Duration listLag, Duration rebootTime)
        : m_listLag(listLag)
        , m_rebootTime(rebootTime)
    {
    }

    /** Replaces all instances. */
    void replace(const std::vector<PlatformInstance> &instances, TimePoint now);

    /** Adds the given instances, or replaces those of the same name; the others stay. */
    void merge(const std::vector<PlatformInstance> &instances, TimePoint now);

    /** Marks an instance as leaving; NotFound if it does not exist or is terminated. */
    Result<Done> drain(std::string_view name, TimePoint now);

    /**
     * Reboots an instance: it is leaving for the reboot time, then live. If a reboot is already
     * running, that one continues. Errors are those of drain().
     */
    Result<Done> reboot(std::string_view name, TimePoint now);

    /** Returns the list as it was listLag ago, ordered by name. */
    std::vector<PlatformInstance> list(TimePoint now);

    /** Returns the current state, ordered by name. */
    std::vector<PlatformInstance> actual(TimePoint now);

    /** Returns all reboots so far, in the order of their start. */
    [[nodiscard]] const std::vector<RebootRecord> &reboots() const { return m_reboots; }

private:
    struct Snapshot
    {
        TimePoint time;
        std::vector<PlatformInstance> instances;
    };

    void finishReboots(TimePoint now);
    void record(TimePoint now);

    const Duration m_listLag;
    const Duration m_rebootTime;
    std::map<std::string, PlatformInstance, std::less<>> m_instances;
    std::map<std::string, TimePoint, std::less<>> m_rebooting; ///< End of the reboot, by name.
    std::vector<RebootRecord> m_reboots;
    std::deque<Snapshot> m_history; ///< Oldest first; list() keeps one that is as old as the lag.
};

} // namespace dragonflysill
