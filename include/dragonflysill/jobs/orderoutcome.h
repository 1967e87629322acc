#pragma once

#include "dragonflysill/jobs/worker.h"

#include <string>
#include <variant>

namespace dragonflysill {

/** The worker accepted the order. Holds the worker's clock at the time of the response. */
struct OrderConfirmed
{
    WorkerClock clock = 0;
    int copies = 1; ///< Copies that the owner had sent before the response.
};

/** There was no valid response: the order may have been carried out, or may still be. */
struct OrderUnanswered
{
    std::string reason;
};

/** What became of an order to a worker. */
using OrderOutcome = std::variant<OrderConfirmed, StartRefusal, OrderUnanswered>;

} // namespace dragonflysill
