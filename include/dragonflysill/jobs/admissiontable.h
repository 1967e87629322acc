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
 * Remembers which workers a queue's policy admits for a step. Asking costs time for each worker
 * named, so that each is asked about once in its life, and again only when its ticket has expired.
 */
class AdmissionTable
{
public:
    /** Names a step of an occurrence of a job. */
    using StepKey = std::tuple<std::string, int, int>;

    /** Returns the ticket of a worker's present life, empty if there is no valid one. */
    [[nodiscard]] std::string_view ticket(const StepKey &step, std::string_view worker,
                                          std::int64_t startedMs, TimePoint now) const;

    /** Returns true if asking about the worker may lead to a ticket. */
    [[nodiscard]] bool worthAsking(const StepKey &step, std::string_view worker,
                                   std::int64_t startedMs, TimePoint now) const;

    /** Returns true if a question about the step may be sent now. */
    [[nodiscard]] bool mayAsk(const StepKey &step, TimePoint now) const;

    /** Notes that a question about a step is under way. */
    void asked(const StepKey &step);

    /** Notes that a question got no answer; it may be repeated at @p retryAt. */
    void unanswered(const StepKey &step, TimePoint retryAt);

    /** Notes an answer about one worker; @p ticket is empty if the policy does not admit it. */
    void answered(const StepKey &step, const std::string &worker, std::int64_t startedMs,
                  std::string ticket, TimePoint validUntil);

    /** Notes that the answers to a question about a step are complete. */
    void answeredAll(const StepKey &step);

    /** Drops a ticket that a worker refused. */
    void refused(const StepKey &step, const std::string &worker);

    /** Forgets a job. */
    void forget(std::string_view job);

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
        bool asking = false;
        TimePoint retryAt{};
        std::map<std::string, Admission, std::less<>> workers;
    };

    [[nodiscard]] const Admission *find(const StepKey &step, std::string_view worker,
                                        std::int64_t startedMs) const;

    std::map<StepKey, Step> m_steps;
};

} // namespace dragonflysill
