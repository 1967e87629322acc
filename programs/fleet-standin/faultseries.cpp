#include "faultseries.h"

#include <chrono>
#include <iostream>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

constexpr Duration minPause = 300ms;
constexpr Duration maxPause = 1500ms;
constexpr Duration minFault = 200ms;
constexpr Duration maxFault = 2500ms;
constexpr Duration minDelay = 20ms;
constexpr Duration maxDelay = 250ms;
constexpr std::size_t faultKinds = 6;

} // namespace internal

FaultSeries::FaultSeries(EventLoop &loop, platform::FleetStandin &fleet, std::uint64_t seed)
    : m_loop(loop)
    , m_fleet(fleet)
    , m_random(seed)
{
}

void FaultSeries::start(Duration length)
{
    m_startedAt = EventLoop::now();
    m_endsAt = m_startedAt + length;
    scheduleNext();
}

void FaultSeries::scheduleNext()
{
    const auto pause = between(internal::minPause, internal::maxPause);
    if (EventLoop::now() + pause >= m_endsAt)
        return;
    m_loop.after(pause, [this] {
        cause();
        scheduleNext();
    });
}

void FaultSeries::cause()
{
    const auto kind = m_random.below(internal::faultKinds);
    const auto length = between(internal::minFault, internal::maxFault);
    const auto delay = between(internal::minDelay, internal::maxDelay);
    switch (kind) {
    case 0:
        m_fleet.store().pause(length);
        log("store away", length);
        break;
    case 1:
        m_fleet.store().slowDown(length, delay);
        log("store slow", length);
        break;
    case 2:
        m_fleet.store().loseAnswers(length);
        log("answers of the store lost", length);
        break;
    case 3:
        m_fleet.store().forgetHistory();
        log("history of the store dropped", Duration{0});
        break;
    case 4:
        m_fleet.crashWorker();
        log("backend server crashed", Duration{0});
        break;
    default:
        m_fleet.renewConfiguration();
        log("configuration changed", Duration{0});
        break;
    }
}

Duration FaultSeries::between(Duration shortest, Duration longest)
{
    return shortest + scaled(longest - shortest, m_random.unit());
}

void FaultSeries::log(std::string_view fault, Duration length)
{
    std::cout << "fault " << (EventLoop::now() - m_startedAt) / std::chrono::milliseconds(1)
              << " ms: " << fault << ' ' << length / std::chrono::milliseconds(1) << " ms"
              << std::endl;
}

} // namespace dragonflysill
