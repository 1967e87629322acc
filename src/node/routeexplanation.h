#pragma once

#include "dragonflysill/jobs/json.h"
#include "dragonflysill/node/nodeviews.h"

#include <string_view>

namespace dragonflysill::internal {

/** A request that is not sent. */
struct RouteQuestion
{
    std::string_view host;
    std::string_view path;
    std::string_view team; ///< Team of the key that it would have; empty for none.
};

/**
 * Explains what this node would answer to a submission now and where its tasks would go. Nothing is
 * accepted, counted or stored. The state of the pool is known to the scheduling node alone.
 */
Json explainRoute(const NodeViewSource &source, const RouteQuestion &question);

} // namespace dragonflysill::internal
