#pragma once

#include "dragonflysill/base/time.h"

namespace dragonflysill {

/**
 * How long to wait for the answer to a call before it counts as lost. It is short as long as
 * answers come fast, so that lost ones cost little, and grows with the time that answers take.
 */
class AnswerPatience
{
public:
    AnswerPatience(Duration shortest, Duration longest)
        : m_shortest(shortest)
        , m_longest(longest)
        , m_current(shortest)
    {
    }

    [[nodiscard]] Duration current() const { return m_current; }

    /** An answer came, in time or not, @p after the call was sent. */
    void answered(Duration after, TimePoint now);

    /** No answer came in time to a call sent at @p sentAt. */
    void missed(TimePoint sentAt);

private:
    Duration m_shortest;
    Duration m_longest;
    Duration m_current;
    TimePoint m_lastAnswer{};
};

} // namespace dragonflysill
