#include "faultseries.h"

#include <chrono>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

constexpr Duration minPause = 100ms;
constexpr Duration maxPause = 900ms;
constexpr Duration minFault = 200ms;
constexpr Duration maxFault = 2500ms;
constexpr Duration flapLength = 5s;
constexpr Duration minDelay = 20ms;
constexpr Duration maxDelay = 250ms;
/** Bandwidth of a limited link; a day of the soak needs about ten times as much at the owner. */
constexpr double limitedBytesPerSecond = 20000;
/** Of this many faults, one hits the store, one the fleet and one the work; the others hit links.
 */
constexpr std::size_t faultGroups = 5;
/** One job in this many has a task that crashes its workers, while such jobs are submitted. */
constexpr int jobsPerCrashingTask = 30;
/** Numbers of kinds of faults and changes. */
constexpr std::size_t storeFaults = 4;
constexpr std::size_t linkFaults = 6;
constexpr std::size_t fleetFaults = 5;
constexpr std::size_t workFaults = 2;

std::string lasting(std::string_view fault, Duration length)
{
    return std::string(fault) + " for " + std::to_string(length / 1ms) + " ms";
}

} // namespace internal

FaultSeries::FaultSeries(EventLoop &loop, platform::FleetStandin &fleet, FaultLinks &links,
                         const DayLog &log, std::uint64_t seed)
    : m_loop(loop)
    , m_fleet(fleet)
    , m_links(links)
    , m_log(log)
    , m_random(seed)
{
}

void FaultSeries::start(Duration length)
{
    m_endsAt = EventLoop::now() + length;
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
    switch (m_random.below(internal::faultGroups)) {
    case 0:
        failStore();
        break;
    case 1:
        changeFleet();
        break;
    case 2:
        disturbWork();
        break;
    default:
        failLink();
        break;
    }
}

void FaultSeries::failStore()
{
    const auto length = between(internal::minFault, internal::maxFault);
    switch (m_random.below(internal::storeFaults)) {
    case 0:
        m_fleet.store().pause(length);
        m_log.note("fault", internal::lasting("store away", length));
        break;
    case 1:
        m_fleet.store().slowDown(length, between(internal::minDelay, internal::maxDelay));
        m_log.note("fault", internal::lasting("store slow", length));
        break;
    case 2:
        m_fleet.store().loseAnswers(length);
        m_log.note("fault", internal::lasting("answers of the store lost", length));
        break;
    default:
        m_fleet.store().forgetHistory();
        m_log.note("fault", "history of the store dropped");
        break;
    }
}

void FaultSeries::failLink()
{
    const auto links = m_links.links();
    if (links.empty())
        return;
    const auto &[name, link] = links[m_random.below(links.size())];
    const auto length = between(internal::minFault, internal::maxFault);
    switch (m_random.below(internal::linkFaults)) {
    case 0:
        link->delay(length, between(internal::minDelay, internal::maxDelay));
        m_log.note("fault", internal::lasting(name + " slow", length));
        break;
    case 1:
        link->cut(length, Direction::ToServer);
        m_log.note("fault", internal::lasting(name + " cut", length));
        break;
    case 2:
        link->cut(length, Direction::ToClient);
        m_log.note("fault", internal::lasting(name + " cut towards the client", length));
        break;
    case 3:
        link->limit(length, internal::limitedBytesPerSecond);
        m_log.note("fault", internal::lasting(name + " narrow", length));
        break;
    case 4:
        link->reset();
        m_log.note("fault", name + " reset");
        break;
    default:
        link->silence();
        m_log.note("fault", name + " silent on the open connections");
        break;
    }
}

void FaultSeries::changeFleet()
{
    switch (m_random.below(internal::fleetFaults)) {
    case 0:
        m_fleet.removeMachine();
        m_fleet.addMachine();
        m_log.note("change", "an instance removed and another one added");
        break;
    case 1:
        m_fleet.renewConfiguration();
        m_log.note("change", "configuration changed");
        break;
    case 2:
        m_fleet.flapWorkers(internal::flapLength);
        m_log.note("fault", internal::lasting("some backend servers crash repeatedly",
                                              internal::flapLength));
        break;
    default:
        m_fleet.crashWorker();
        m_log.note("fault", "backend server crashed");
        break;
    }
}

void FaultSeries::disturbWork()
{
    const auto length = between(internal::minFault, internal::maxFault);
    if (m_random.below(internal::workFaults) == 0) {
        m_fleet.addCrashingTasks(length, internal::jobsPerCrashingTask);
        m_log.note("fault", internal::lasting("tasks of new jobs crash their workers", length));
    } else {
        m_fleet.reduceCapacity(length);
        m_log.note("fault", internal::lasting("less capacity of some backend servers", length));
    }
}

Duration FaultSeries::between(Duration shortest, Duration longest)
{
    return shortest + scaled(longest - shortest, m_random.unit());
}

} // namespace dragonflysill
