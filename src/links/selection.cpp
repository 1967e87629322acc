#include "dragonflysill/links/selection.h"

namespace dragonflysill {

namespace internal {

std::size_t countAvailable(std::span<const Candidate> candidates)
{
    std::size_t count = 0;
    for (const Candidate &it : candidates)
        count += it.available() ? 1 : 0;
    return count;
}

int nthAvailable(std::span<const Candidate> candidates, std::size_t n)
{
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].available() && n-- == 0)
            return static_cast<int>(i);
    }
    return -1;
}

/** Returns the load relative to the limit, plus 0.25 if in another availability zone. */
double score(const Candidate &candidate)
{
    constexpr double zonePenalty = 0.25;
    const double load = static_cast<double>(candidate.inFlight) / candidate.limit;
    return load + (candidate.sameZone ? 0 : zonePenalty);
}

} // namespace internal

int RoundRobin::choose(std::span<const Candidate> candidates, Random &)
{
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const std::size_t i = (m_next + n) % candidates.size();
        if (candidates[i].available()) {
            m_next = i + 1;
            return static_cast<int>(i);
        }
    }
    return -1;
}

int FixedShares::choose(std::span<const Candidate> candidates, Random &random)
{
    return m_roundRobin.choose(candidates, random);
}

int LeastLoadedOfTwo::choose(std::span<const Candidate> candidates, Random &random)
{
    const std::size_t count = internal::countAvailable(candidates);
    if (count == 0)
        return -1;
    const std::size_t first = random.below(count);
    const int a = internal::nthAvailable(candidates, first);
    if (count == 1)
        return a;
    const std::size_t second = (first + 1 + random.below(count - 1)) % count;
    const int b = internal::nthAvailable(candidates, second);
    return internal::score(candidates[b]) < internal::score(candidates[a]) ? b : a;
}

int Credits::choose(std::span<const Candidate> candidates, Random &)
{
    int best = -1;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const int credit = candidates[i].limit - candidates[i].inFlight;
        if (credit <= 0)
            continue;
        if (best < 0 || credit > candidates[best].limit - candidates[best].inFlight)
            best = static_cast<int>(i);
    }
    return best;
}

std::optional<Selector> selectorByName(std::string_view name)
{
    if (name == "least-of-two")
        return LeastLoadedOfTwo();
    if (name == "round-robin")
        return RoundRobin();
    if (name == "fixed-shares")
        return FixedShares();
    if (name == "credits")
        return Credits();
    return std::nullopt;
}

int choose(Selector &selector, std::span<const Candidate> candidates, Random &random)
{
    return std::visit([&](auto &it) { return it.choose(candidates, random); }, selector);
}

LimitKind limitKind(const Selector &selector)
{
    return std::visit([](const auto &it) { return std::decay_t<decltype(it)>::limitKind; },
                      selector);
}

} // namespace dragonflysill
