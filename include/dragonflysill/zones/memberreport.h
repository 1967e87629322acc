#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** An instance on which an entry sends no new work and has nothing in flight. */
struct DrainedInstance
{
    std::string name;
    std::int64_t epoch = 0; ///< The epoch of the instance record that was drained.

    bool operator==(const DrainedInstance &) const = default;
};

/** What a member last reported about its entry, as far as this process knows. */
struct MemberReport
{
    std::string name;
    std::int64_t incarnation = 0;
    bool alive = false; ///< Judged by the failure detector of this process.
    std::int64_t appliedRevision = 0; ///< The view revision that its entry applied.
    std::int64_t ticketNumber = 0;
    std::vector<DrainedInstance> drained;

    bool operator==(const MemberReport &) const = default;
};

/** The newest report of every member. Thread-safe. */
class MemberReports
{
public:
    /** Stores a report; one with a lower incarnation than the held one is ignored. */
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
