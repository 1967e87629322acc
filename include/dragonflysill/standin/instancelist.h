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

/** The life of an instance as the platform's list reports it. */
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
 * A model of the platform's instances with drain and reboot, whose list lags behind the actual
 * state. Pure: the time is a parameter and must not go back. Not thread-safe.
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

    /** Adds or changes some instances. */
    void merge(const std::vector<PlatformInstance> &instances, TimePoint now);

    /** Marks an instance as leaving; NotFound if it does not exist or is terminated. */
    Result<Done> drain(std::string_view name, TimePoint now);

    /** Reboots an instance: leaving for the reboot time, then live. A running reboot goes on. */
    Result<Done> reboot(std::string_view name, TimePoint now);

    /** Returns the list as it was one lag ago, ordered by name. */
    std::vector<PlatformInstance> list(TimePoint now);

    /** Returns the list without lag. */
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
    std::map<std::string, TimePoint, std::less<>> m_rebooting; ///< By name: the end of the reboot.
    std::vector<RebootRecord> m_reboots;
    std::deque<Snapshot> m_history; ///< The first is the newest that is at least one lag old.
};

} // namespace dragonflysill
