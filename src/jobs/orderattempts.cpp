#include "dragonflysill/jobs/orderattempts.h"

#include <variant>

namespace dragonflysill {

void OrderAttempts::copySent()
{
    ++m_sent;
    ++m_outstanding;
}

std::optional<OrderOutcome> OrderAttempts::copyAnswered(const OrderOutcome &outcome)
{
    --m_outstanding;
    if (m_decided)
        return std::nullopt;
    if (std::holds_alternative<OrderConfirmed>(outcome)) {
        m_decided = true;
        return outcome;
    }
    if (const auto *it = std::get_if<OrderUnanswered>(&outcome)) {
        m_unanswered = true;
        m_reason = *it;
    } else if (std::get<StartRefusal>(outcome) == StartRefusal::NotSent) {
        m_notSent = outcome;
    } else {
        m_refusal = outcome;
    }
    const bool refused = m_refusal || m_notSent;
    if (m_outstanding > 0 || (m_unanswered && !refused && mayRepeat()))
        return std::nullopt;
    return decide();
}

std::optional<OrderOutcome> OrderAttempts::stopRepeating()
{
    m_limit = m_sent;
    if (m_decided || m_outstanding > 0)
        return std::nullopt;
    return decide();
}

OrderOutcome OrderAttempts::decide()
{
    m_decided = true;
    if (m_unanswered)
        return m_reason;
    return m_refusal.value_or(m_notSent.value_or(StartRefusal::NotSent));
}

} // namespace dragonflysill
