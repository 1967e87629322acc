#pragma once

namespace dragonflysill {

/**
 * The number of requests that this entry process keeps in flight on one backend server whose slots
 * other entry processes use too. A refusal lowers the limit, a success at the limit raises it
 * (additive increase, multiplicative decrease), so that the entry processes share the slots without
 * communicating.
 */
class AdaptiveLimit
{
public:
    /**
     * @param initial the limit before any feedback
     * @param maximum the backend server's slots
     */
    AdaptiveLimit(int initial, int maximum);

    /** Notes a success that was started with @p inFlight requests, itself included. */
    void succeeded(int inFlight);

    /** Notes a refusal before start while @p inFlight requests were open, itself included. */
    void refused(int inFlight);

    /** Changes the maximum, for example after a ticket. */
    void setMaximum(int maximum);

    /** Returns the limit; at least 1. */
    [[nodiscard]] int value() const { return static_cast<int>(m_limit); }

private:
    double m_limit;
    double m_maximum;
};

} // namespace dragonflysill
