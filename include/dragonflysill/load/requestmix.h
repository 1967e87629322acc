#pragma once

#include "dragonflysill/base/random.h"
#include "dragonflysill/base/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** One kind of request in a generated load. */
struct RequestKind
{
    std::string method; ///< "GET" or "POST".
    std::string path;
    double weight = 1; ///< Relative frequency in the mix.
    bool hasIdempotencyKey = false; ///< Sent with an Idempotency-Key.
    int bodyBytes = 0;

    bool operator==(const RequestKind &) const = default;
};

/** A weighted choice of request kinds. */
class RequestMix
{
public:
    /**
     * Parses a comma-separated list of "METHOD PATH [weight=N] [keyed] [body=BYTES]".
     * @return the mix, or InvalidInput that names the malformed part
     */
    static Result<RequestMix> parse(std::string_view text);

    /** Returns a random kind; the probability is proportional to its weight. */
    const RequestKind &choose(Random &random) const;

    [[nodiscard]] const std::vector<RequestKind> &kinds() const { return m_kinds; }

private:
    std::vector<RequestKind> m_kinds;
    double m_totalWeight = 0;
};

} // namespace dragonflysill
