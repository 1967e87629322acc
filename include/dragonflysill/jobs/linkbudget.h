#pragma once

#include "dragonflysill/base/time.h"

#include <cstdint>

namespace dragonflysill {

/**
 * Bounds the starts of tasks to what the link of the owner's machine carries. Each start is
 * followed by holds, reports and writes of progress. If the starts filled the link, these and the
 * renewals of the lease would wait behind them: holds would expire and the ownership would change,
 * which costs far more than starts that wait for a moment.
 */
class LinkBudget
{
public:
    /** @param bytesPerSecond bandwidth of the machine in each direction; 0 if unknown */
    explicit LinkBudget(double bytesPerSecond);

    /**
     * Records the traffic of the whole process.
     * @param sent bytes sent since the process started
     * @param received bytes received since the process started
     */
    void record(std::uint64_t sent, std::uint64_t received, TimePoint now);

    /** Records that tasks were started since the last record. */
    void started(int tasks) { m_started += tasks; }

    /** Returns how many tasks may be started before the next record; at most @p limit. */
    [[nodiscard]] int starts(int limit) const;

private:
    /** The usable bandwidth of one direction; what is not used can be saved up for a moment. */
    class Direction
    {
    public:
        explicit Direction(double usableBytesPerSecond);

        /**
         * Records the traffic of a period.
         * @param total bytes since the process started
         */
        void record(std::uint64_t total, Duration period);

        /** Returns the bytes that may still be used; negative if too many have been. */
        [[nodiscard]] double unused() const { return m_unused; }

    private:
        double m_rate; ///< Usable bytes in a second.
        double m_unused;
        std::uint64_t m_total = 0;
    };

    bool m_limited;
    Direction m_sent;
    Direction m_received;
    TimePoint m_recordedAt{};
    int m_started = 0;
};

} // namespace dragonflysill
