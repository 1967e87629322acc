#include "faultseries.h"

#include <algorithm>
#include <chrono>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

constexpr Duration minPause = 100ms;
constexpr Duration maxPause = 900ms;
constexpr Duration minFault = 200ms;
constexpr Duration maxFault = 2500ms;
constexpr Duration flapLength = 5s;
constexpr Duration earliestRestarts = 1s;
/** A successor must not be killed before the end of its wait (5.2 s) by the next restarts. */
constexpr Duration minPauseOfRestarts = 9s;
constexpr Duration maxPauseOfRestarts = 12s;
/** Longest time for which a restarting backend server is down in the series of restarts. */
constexpr Duration maxRestart = 600ms;
/** Time from the return of the restarted backend servers until the owner is killed. */
constexpr Duration minTimeToKill = 1200ms;
constexpr Duration maxTimeToKill = 1600ms;
/** Time from there until the restarted backend servers are cut off. */
constexpr Duration minTimeToCutOff = 500ms;
constexpr Duration maxTimeToCutOff = 700ms;
/** Longest time from the restarts until their last fault begins. */
constexpr Duration restartsToCutOff = maxRestart + maxTimeToKill + maxTimeToCutOff;
/** They run on for the longest hold, which outlasts the wait of a successor (5.2 s). */
constexpr Duration minCutOff = 8500ms;
constexpr Duration maxCutOff = 9500ms;
/** Key of the store with the name of the owner. */
constexpr const char *ownerKey = "dragonflysill/owner";
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
    , m_restartRandom(~seed)
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

void FaultSeries::startRestarts(Duration length)
{
    m_restartsEndAt = EventLoop::now() + length;
    const auto latest = std::max(internal::earliestRestarts, length - internal::restartsToCutOff);
    scheduleRestarts(between(m_restartRandom, internal::earliestRestarts, latest));
}

void FaultSeries::scheduleRestarts(Duration pause)
{
    if (EventLoop::now() + pause + internal::restartsToCutOff > m_restartsEndAt)
        return;
    m_loop.after(pause, [this] {
        restartWorkers();
        scheduleRestarts(between(m_restartRandom, internal::minPauseOfRestarts,
                                 internal::maxPauseOfRestarts));
    });
}

void FaultSeries::restartWorkers()
{
    const auto timeToKill
            = internal::maxRestart
              + between(m_restartRandom, internal::minTimeToKill, internal::maxTimeToKill);
    const auto timeToCutOff
            = timeToKill
              + between(m_restartRandom, internal::minTimeToCutOff, internal::maxTimeToCutOff);
    const auto workers = m_fleet.restartWorkers(internal::maxRestart, timeToCutOff);
    m_log.note("fault", std::to_string(workers.size()) + " backend servers restart");
    m_loop.after(timeToKill, [this] { killOwner(); });
    m_loop.after(timeToCutOff, [this, workers] { cutOff(workers); });
}

void FaultSeries::killOwner()
{
    if (const auto owner = m_fleet.store().value(internal::ownerKey))
        m_log.note("kill", *owner);
}

void FaultSeries::cutOff(const std::vector<std::string> &workers)
{
    const auto length = between(m_restartRandom, internal::minCutOff, internal::maxCutOff);
    for (const auto &worker : workers) {
        if (auto *link = m_links.find({}, worker)) {
            link->lose(length);
            m_log.note("fault",
                       internal::lasting("all bytes from nodes to " + worker + " lost", length));
        }
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
    return between(m_random, shortest, longest);
}

Duration FaultSeries::between(Random &random, Duration shortest, Duration longest)
{
    return shortest + scaled(longest - shortest, random.unit());
}

} // namespace dragonflysill
