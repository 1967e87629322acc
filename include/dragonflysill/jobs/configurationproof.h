#pragma once

#include "dragonflysill/base/time.h"

#include <chrono>
#include <optional>

namespace dragonflysill {

/** How soon changes of the keys must take effect. */
struct AccessSettings
{
    bool strictRevocation = false; ///< Keys may be accepted only with a proof.
    Duration revocationTime = std::chrono::seconds(5); ///< Until a removed key must be refused.
    Duration configurationTime = std::chrono::seconds(3); ///< Until an added key must be accepted.
};

/**
 * The time as of which the configuration in force is known to be the newest one of the store. All
 * times are those of one monotonic clock that counts suspension.
 *
 * The store answers a call with its state at some time between the sending of the call and the
 * response, so a response proves the configuration as of the time of sending, however late the
 * response is. Later changes of the store are not excluded.
 */
class ConfigurationProof
{
public:
    /**
     * Records that a complete list of the operators' keys has been applied.
     * @param sentAt when its first call was sent
     */
    void listAnswered(TimePoint sentAt) { add(sentAt); }

    /**
     * Records that the changes of a poll, or that it had none, have been applied. A poll may miss
     * changes of the last second before it was sent.
     * @param sentAt when the poll was sent
     */
    void pollAnswered(TimePoint sentAt);

    /** Returns the time since the configuration was the newest one; no value without a proof. */
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;

    /**
     * Returns whether the proof shows that keys that were removed longer than a time ago are known
     * to be removed.
     */
    [[nodiscard]] bool covers(Duration revocationTime, TimePoint now) const;

    /**
     * Returns the maximum duration of polls with which the proof stays young enough for both times
     * of the settings while the store answers.
     */
    static std::chrono::milliseconds pollWait(const AccessSettings &settings);

private:
    void add(TimePoint asOf);

    std::optional<TimePoint> m_asOf;
};

} // namespace dragonflysill
