#pragma once

#include "dragonflysill/base/time.h"
#include "dragonflysill/jobs/job.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <tuple>

namespace dragonflysill {

/**
 * Caches which workers a queue's policy admits for a step. An admission request takes time for each
 * worker that it names, so a request names a worker once per incarnation, and again only after its
 * ticket has expired.
 */
class AdmissionTable
{
public:
    /** Job id, occurrence and step. */
    using StepKey = std::tuple<std::string, int, int>;

    /**
     * Returns the ticket of a worker; empty if there is no valid one.
     * @param startedMs start time of the worker's current incarnation; tickets of earlier ones do
     *     not count
     */
    [[nodiscard]] std::string_view ticket(const StepKey &step, std::string_view worker,
                                          std::int64_t startedMs, TimePoint now) const;

    /**
     * Returns true if the policy has not yet answered for this incarnation of the worker, or if
     * the worker was admitted and its ticket has expired.
     */
    [[nodiscard]] bool needsRequest(const StepKey &step, std::string_view worker,
                                    std::int64_t startedMs, TimePoint now) const;

    /** Returns true if no request for the step is pending and no retry delay is running. */
    [[nodiscard]] bool mayRequest(const StepKey &step, TimePoint now) const;

    /** Records that a request for a step was sent. */
    void requestSent(const StepKey &step);

    /** Records that a request got no answer; it may be repeated at @p retryAt. */
    void requestUnanswered(const StepKey &step, TimePoint retryAt);

    /** Stores the answer for one worker; @p ticket is empty if the policy does not admit it. */
    void setAdmission(const StepKey &step, const std::string &worker, std::int64_t startedMs,
                      std::string ticket, TimePoint validUntil);

    /** Records that the pending request for a step was answered. */
    void requestAnswered(const StepKey &step);

    /** Removes a ticket that the worker refused. */
    void dropTicket(const StepKey &step, const std::string &worker);

    /** Removes all entries of a job. */
    void removeJob(std::string_view job);

private:
    struct Admission
    {
        std::int64_t startedMs = 0;
        bool admitted = false;
        std::string ticket;
        TimePoint validUntil{};
    };

    struct Step
    {
        bool requestPending = false;
        TimePoint retryAt{};
        std::map<std::string, Admission, std::less<>> workers;
    };

    [[nodiscard]] const Admission *find(const StepKey &step, std::string_view worker,
                                        std::int64_t startedMs) const;

    std::map<StepKey, Step> m_steps;
};

} // namespace dragonflysill
