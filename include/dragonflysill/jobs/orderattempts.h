#pragma once

#include "dragonflysill/jobs/orderoutcome.h"

#include <optional>

namespace dragonflysill {

/**
 * The copies of an order to a worker. An order without an answer is sent again to the same worker,
 * which carries it out once: it knows the run by its number. A copy that was not answered may still
 * take effect, so that an order counts as refused only if every copy was. An order counts as
 * unanswered only when no further copy may be sent or a copy was refused: a copy may fail at once,
 * with a connection that the peer has lost.
 */
class OrderAttempts
{
public:
    /** Maximum number of copies. */
    static constexpr int maxCopies = 3;

    /** @param limit number of copies that may be sent */
    explicit OrderAttempts(int limit = maxCopies)
        : m_limit(limit)
    {
    }

    /** Returns whether another copy may be sent. */
    [[nodiscard]] bool mayRepeat() const { return !m_decided && m_sent < m_limit; }

    /** Returns whether the outcome of the order is known. */
    [[nodiscard]] bool decided() const { return m_decided; }

    /** Records that a copy was sent. */
    void copySent();

    /**
     * Records the outcome of a copy.
     * @return the outcome of the order, once, when it is known; nothing while a copy is on its way
     *         or must be sent
     */
    std::optional<OrderOutcome> copyAnswered(const OrderOutcome &outcome);

    /**
     * Records that no further copy will be sent.
     * @return the outcome of the order, once, if no copy is on its way
     */
    std::optional<OrderOutcome> stopRepeating();

private:
    OrderOutcome decide();

    int m_limit;
    int m_sent = 0;
    int m_outstanding = 0;
    bool m_decided = false;
    bool m_unanswered = false; ///< A copy may still be carried out.
    std::optional<OrderOutcome> m_refusal;
    std::optional<OrderOutcome> m_notSent;
    OrderUnanswered m_reason;
};

} // namespace dragonflysill
