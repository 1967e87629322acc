#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** An instance to which an entry process sends no new requests and has none in flight. */
struct DrainedInstance
{
    std::string name;
    std::int64_t epoch = 0; ///< The epoch of the instance record that was drained.

    bool operator==(const DrainedInstance &) const = default;
};

/** The last known report of a member about its entry process. */
struct MemberReport
{
    std::string name;
    std::int64_t incarnation = 0;
    bool alive = false; ///< According to the failure detector of this process.
    std::int64_t appliedRevision = 0; ///< The view revision that its entry process applied.
    std::int64_t ticketNumber = 0;
    std::vector<DrainedInstance> drained;

    bool operator==(const MemberReport &) const = default;
};

/** Holds the newest report of every member. Thread-safe. */
class MemberReports
{
public:
    /** Stores a report; one with a lower incarnation than the stored one is ignored. */
    void update(MemberReport report);

    /** Sets only the liveness of a member. */
    void setAlive(std::string_view name, bool alive);

    /** Removes a member that left. */
    void remove(std::string_view name);

    /** Returns all reports, ordered by name. */
    [[nodiscard]] std::vector<MemberReport> snapshot() const;

private:
    mutable std::mutex m_mutex;
    std::vector<MemberReport> m_reports;
};

} // namespace dragonflysill
