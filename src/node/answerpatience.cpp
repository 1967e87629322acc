#include "dragonflysill/node/answerpatience.h"

#include <algorithm>

namespace dragonflysill {

namespace internal {

/** Answers may take this many times as long as the last one before they count as lost. */
constexpr int spread = 4;

} // namespace internal

void AnswerPatience::answered(Duration after, TimePoint now)
{
    m_lastAnswer = now;
    m_current = std::clamp(internal::spread * after, m_shortest, m_longest);
}

void AnswerPatience::missed(TimePoint sentAt)
{
    // If other calls were answered meanwhile, this answer was lost; otherwise all may be slow.
    if (m_lastAnswer < sentAt)
        m_current = std::min(2 * m_current, m_longest);
}

} // namespace dragonflysill
