#pragma once

#include "dragonflysill/base/random.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <variant>

namespace dragonflysill {

/** The state of a backend server that a selection policy uses. */
struct Candidate
{
    int backend = -1;
    int inFlight = 0; ///< Requests that this entry process has in flight on it.
    int limit = 0; ///< Largest number of requests that may be in flight.
    bool sameZone = false;

    [[nodiscard]] bool available() const { return inFlight < limit; }
};

/** How the limit of a candidate is derived. */
enum class LimitKind {
    Slots, ///< All slots of the backend server.
    Share, ///< The slots divided by the number of entry processes.
    Adaptive, ///< The value of AdaptiveLimit.
};

/** Takes the next available backend server in turn; the baseline for comparisons. */
class RoundRobin
{
public:
    static constexpr LimitKind limitKind = LimitKind::Slots;
    int choose(std::span<const Candidate> candidates, Random &random);

private:
    std::size_t m_next = 0;
};

/** Like RoundRobin, but limited to a fixed share of the slots. */
class FixedShares
{
public:
    static constexpr LimitKind limitKind = LimitKind::Share;
    int choose(std::span<const Candidate> candidates, Random &random);

private:
    RoundRobin m_roundRobin;
};

/**
 * Takes the less loaded of two random available backend servers (Mitzenmacher, "The Power of Two
 * Choices in Randomized Load Balancing", 2001), with a preference for the availability zone
 * of the entry process.
 */
class LeastLoadedOfTwo
{
public:
    static constexpr LimitKind limitKind = LimitKind::Adaptive;
    int choose(std::span<const Candidate> candidates, Random &random);
};

/** Takes the backend server with the most credits, that is, limit minus requests in flight. */
class Credits
{
public:
    static constexpr LimitKind limitKind = LimitKind::Adaptive;
    int choose(std::span<const Candidate> candidates, Random &random);
};

using Selector = std::variant<LeastLoadedOfTwo, RoundRobin, FixedShares, Credits>;

/**
 * Returns the policy with a name: "least-of-two", "round-robin", "fixed-shares" or "credits";
 * nothing for another name.
 */
std::optional<Selector> selectorByName(std::string_view name);

/** Returns the index of the selected candidate, or -1 if none is available. */
int choose(Selector &selector, std::span<const Candidate> candidates, Random &random);

/** Returns how the policy's limits are derived. */
LimitKind limitKind(const Selector &selector);

} // namespace dragonflysill
