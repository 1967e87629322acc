#include "dragonflysill/node/fleetcontroller.h"

#include "dragonflysill/node/nodekeys.h"
#include "dragonflysill/node/scheduleowner.h"
#include "dragonflysill/telemetry/log.h"
#include "machinecalls.h"
#include "names.h"
#include "nodesettings.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace dragonflysill {

namespace internal {

using namespace std::chrono_literals;

/** Timeout for an order and for one page of the instance list. */
constexpr Duration machineCallTimeout = 1000ms;
/** Interval between two lists of the instances while waves or orders are open. */
constexpr Duration busyListInterval = 1000ms;
/** Interval while a worker with runs does not answer; the list shows whether it has ended. */
constexpr Duration silentWorkerListInterval = 500ms;
/** Interval between two lists of the instances otherwise. */
constexpr Duration idleListInterval = 3000ms;
/** Maximum age of the data in a list of the instances. */
constexpr std::chrono::milliseconds maxListAge = 3000ms;
/** Minimum interval between two log lines about the load of the pools. */
constexpr Duration loadLogInterval = 500ms;
/** Time after which an order without a visible effect is dropped, so that it may be repeated. */
constexpr Duration orderEffectTimeout = 6000ms;

std::set<std::string> decodeMaintainedInstances(const std::string &bytes)
{
    const auto json = nlohmann::json::parse(bytes, nullptr, false);
    std::set<std::string> done;
    if (!json.is_array())
        return done;
    for (const auto &it : json) {
        if (it.is_string())
            done.insert(it.get<std::string>());
    }
    return done;
}

} // namespace internal

FleetController::FleetController(const OwnerContext &context, Scheduler &scheduler,
                                 std::int64_t fence, TimePoint firstOrderAt)
    : m_context(context)
    , m_scheduler(scheduler)
    , m_fence(fence)
    , m_firstOrderAt(firstOrderAt)
    , m_calls(std::make_unique<platform::MachineCalls>(
              context.serviceClient, context.settings.machinesAddress,
              platform::OrderAuthority{context.settings.name, fence}))
    , m_maintenance(context.settings.maintenanceTime)
{
}

FleetController::~FleetController()
{
    *m_alive = false;
}

void FleetController::setConfiguration(const FleetConfiguration &configuration)
{
    m_configuration = configuration;
}

void FleetController::addWave(const MaintenanceWave &wave)
{
    std::set<std::string> done;
    const auto key = nodekeys::key(nodekeys::waves, std::to_string(wave.number));
    for (const auto &it : m_context.replica.otherItems(key)) {
        if (it.key == key)
            done = internal::decodeMaintainedInstances(it.value);
    }
    m_maintenance.addWave(wave, std::move(done), EventLoop::now());
}

bool FleetController::isStandby(std::string_view pool) const
{
    const auto *settings = m_configuration.pool(pool);
    return settings != nullptr && settings->standby;
}

void FleetController::tick(TimePoint now)
{
    if (m_context.settings.machinesAddress.empty())
        return;
    const bool busy = !m_orders.empty() || !m_maintenance.openWaves().empty();
    const auto interval = m_scheduler.hasSilentWorkers(now) ? internal::silentWorkerListInterval
                          : busy                            ? internal::busyListInterval
                                                            : internal::idleListInterval;
    if (now - m_listedAt >= interval)
        requestInstances(now);
    saveWaves();
    if (!m_listedOnce || !m_context.mayGiveOrders())
        return;
    auto fleet = buildView(now);
    for (auto &it : fleet.instances)
        it.leaving = it.leaving && !m_balancer.yielding().contains(it.name);
    const auto maintenance = m_maintenance.decide(
            fleet, [this](const std::string &pool) { return m_balancer.hasShortage(pool); }, now);
    for (auto &it : fleet.instances) {
        it.leaving = maintenance.leaving.contains(it.name);
        it.awaitsMaintenance = maintenance.open.contains(it.name);
    }
    const auto moves = m_balancer.decide(fleet, now);
    m_scheduler.setObtainableCores(m_balancer.obtainableCores());
    logLoad(fleet, now);
    for (const auto &it : maintenance.orders)
        orderMaintenance(it, fleet, now);
    for (const auto &it : moves)
        orderMove(it, fleet, now);
    for (const auto &[id, worker] : m_scheduler.workers()) {
        const auto &name = worker.description.instance;
        const bool leaving = maintenance.leaving.contains(name) || m_orders.contains(name)
                             || m_balancer.yielding().contains(name);
        if (worker.leaving != leaving)
            m_scheduler.setLeaving(id, leaving);
        const auto open = maintenance.open.find(name);
        m_scheduler.setMaintenanceDeadline(
                id, open == maintenance.open.end() ? std::nullopt : std::optional(open->second));
    }
}

void FleetController::logLoad(const FleetView &fleet, TimePoint now)
{
    if (now - m_loadLoggedAt < internal::loadLogInterval)
        return;
    m_loadLoggedAt = now;
    std::string text;
    for (const auto &[pool, load] : fleet.load) {
        text += (text.empty() ? "" : " ") + pool + "="
                + std::to_string(m_balancer.neededInstances(pool)) + "/"
                + std::to_string(m_balancer.presentInstances(pool)) + "/"
                + std::to_string(load.waitingMilliCores / 1000);
    }
    logInfo("pool-load", {{"needed/present/waiting-cores", text}});
}

void FleetController::requestInstances(TimePoint now)
{
    if (std::exchange(m_listInFlight, true))
        return;
    ++m_counts.lists;
    m_listedAt = now;
    m_calls->list(internal::machineCallTimeout,
                  [this, alive = m_alive, now](const Result<std::vector<FleetInstance>> &it) {
                      if (*alive)
                          instancesListed(it, now);
                  });
}

void FleetController::instancesListed(const Result<std::vector<FleetInstance>> &instances,
                                      TimePoint sentAt)
{
    m_listInFlight = false;
    if (!instances) {
        logWarning("instances-not-listed", {{"error", instances.error().text()}});
        return;
    }
    m_listedOnce = true;
    m_instances.clear();
    for (const auto &it : *instances)
        m_instances[it.name] = it;
    retireMissingWorkers();
    // An order that was accepted before this list was requested is visible in it.
    std::erase_if(m_orders, [&](const auto &entry) {
        const auto &[name, order] = entry;
        const auto it = m_instances.find(name);
        if (it == m_instances.end())
            return true;
        if (sentAt - order.sentAt > internal::orderEffectTimeout)
            return true;
        const bool arrived = it->second.state == FleetInstance::State::Up
                             && it->second.pool == order.targetPool;
        return order.answered && order.sentAt < sentAt && arrived
               && (order.wave == 0
                           ? isStandby(order.targetPool)
                           : it->second.worker != order.workerBefore || order.workerBefore.empty());
    });
}

void FleetController::retireMissingWorkers()
{
    // All tasks on an instance end when it is moved or maintained, and it gets a new worker
    // afterwards.
    std::map<std::string, Scheduler::WorkerEnd> ended;
    for (const auto &[id, worker] : m_scheduler.workers()) {
        const auto it = m_instances.find(worker.description.instance);
        // The list may be older than a worker that started recently and then not contain it.
        const auto age = unixMilliseconds() - worker.description.startedMs;
        const bool old = worker.description.startedMs != 0 && age > internal::maxListAge.count();
        if (it != m_instances.end() && !worker.reachable && old && it->second.worker != id)
            ended[id] = it->second.worker.empty() ? Scheduler::WorkerEnd::Down
                                                  : Scheduler::WorkerEnd::Replaced;
    }
    for (const auto &[id, end] : ended)
        m_scheduler.retireWorker(id, end, EventLoop::now());
}

FleetView FleetController::buildView(TimePoint now)
{
    WorkersByInstance workers;
    for (const auto &[id, worker] : m_scheduler.workers()) {
        auto &known = workers[worker.description.instance];
        if (worker.listed
            && (known == nullptr || known->description.startedMs < worker.description.startedMs))
            known = &worker;
    }
    removeCompletedOrders(workers);
    FleetView fleet;
    auto loads = m_scheduler.loads(now);
    for (const auto &it : m_configuration.pools) {
        if (it.standby)
            fleet.standbyPool = it.name;
        else
            fleet.load[it.name] = loads[it.name];
    }
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    for (const auto &[name, instance] : m_instances) {
        InstanceView row;
        row.name = name;
        row.pool = instance.pool;
        row.rack = instance.rack;
        row.state = instance.state;
        if (instance.capacity) {
            row.milliCores = instance.capacity->milliCores;
            row.memoryMb = instance.capacity->memoryMb;
        }
        const auto worker = workers.find(name);
        fillInstanceView(row, worker == workers.end() ? nullptr : worker->second, now);
        milliCores = std::max(milliCores, row.milliCores);
        memoryMb = std::max(memoryMb, row.memoryMb);
        fleet.instances.push_back(std::move(row));
    }
    for (auto &it : fleet.instances) {
        it.milliCores = it.milliCores == 0 ? milliCores : it.milliCores;
        it.memoryMb = it.memoryMb == 0 ? memoryMb : it.memoryMb;
    }
    return fleet;
}

void FleetController::fillInstanceView(InstanceView &row, const WorkerState *worker, TimePoint now)
{
    if (worker != nullptr) {
        if (worker->reachable) {
            // The worker's data is newer than the list. Only reachable workers count, because the
            // entry of a worker remains in the store for a while after it has ended.
            row.pool = worker->description.pool;
            row.state = FleetInstance::State::Up;
        }
        row.usable = worker->listed && worker->reachable && !worker->description.draining;
        row.draining = worker->description.draining;
        row.quarantined = worker->health.quarantined(now);
        row.empty = worker->empty();
        row.milliCores = worker->description.capacity.milliCores;
        row.memoryMb = worker->description.capacity.memoryMb;
        row.leaving = worker->leaving;
        row.hasPersistentTasks = worker->persistentRuns > 0;
        auto &since = m_idleSince[worker->description.id];
        if (!row.empty || since == TimePoint{})
            since = now;
        row.idleSince = since;
    }
    row.possiblyOrdered = now < m_firstOrderAt;
    if (const auto order = m_orders.find(row.name); order != m_orders.end()) {
        row.orderPending = true;
        row.pool = order->second.targetPool;
    }
    row.standby = isStandby(row.pool);
}

bool FleetController::startedAfter(const WorkerState &worker, const Order &order)
{
    return worker.description.id != order.workerBefore
           || worker.latestStart() > order.workerStartBefore;
}

void FleetController::removeCompletedOrders(const WorkersByInstance &workers)
{
    std::erase_if(m_orders, [&](const auto &entry) {
        const auto &[name, order] = entry;
        const auto it = workers.find(name);
        // A worker that started by itself does not show that the order was carried out.
        return !order.inFlight && it != workers.end() && it->second != nullptr
               && startedAfter(*it->second, order)
               && it->second->description.pool == order.targetPool;
    });
    std::erase_if(m_idleSince,
                  [this](const auto &it) { return m_scheduler.worker(it.first) == nullptr; });
}

std::string FleetController::describeOrder(const std::string &instance) const
{
    const auto it = m_orders.find(instance);
    if (it == m_orders.end())
        return {};
    const std::string what = it->second.wave == 0
                                     ? "move to " + it->second.targetPool
                                     : "maintenance in wave " + std::to_string(it->second.wave);
    return what + (it->second.answered ? ", accepted" : ", not answered yet");
}

FleetController::Order &FleetController::beginOrder(const std::string &instance,
                                                    const FleetView &fleet, TimePoint now)
{
    Order order;
    order.targetPool = std::ranges::find(fleet.instances, instance, &InstanceView::name)->pool;
    order.sentAt = now;
    for (const auto &[id, worker] : m_scheduler.workers()) {
        if (worker.description.instance != instance)
            continue;
        m_scheduler.setLeaving(id, true);
        if (!worker.listed)
            continue;
        order.workerBefore = id;
        order.workerStartBefore = worker.latestStart();
    }
    return m_orders[instance] = std::move(order);
}

void FleetController::orderMove(const MoveInstance &move, const FleetView &fleet, TimePoint now)
{
    ++m_counts.moves;
    auto &order = beginOrder(move.instance, fleet, now);
    logInfo("instance-move", {{"instance", move.instance},
                              {"from", order.targetPool},
                              {"to", move.pool},
                              {"needed", std::to_string(m_balancer.neededInstances(move.pool))}});
    order.targetPool = move.pool;
    m_calls->move(move.instance, move.pool, internal::machineCallTimeout,
                  [this, alive = m_alive, name = move.instance](InstanceOrderOutcome outcome) {
                      if (*alive)
                          orderAnswered(name, outcome);
                  });
}

void FleetController::orderMaintenance(const MaintainInstance &maintenance, const FleetView &fleet,
                                       TimePoint now)
{
    logInfo("instance-maintenance",
            {{"instance", maintenance.instance}, {"wave", std::to_string(maintenance.wave)}});
    beginOrder(maintenance.instance, fleet, now).wave = maintenance.wave;
    m_calls->maintain(
            maintenance.instance, maintenance.wave, internal::machineCallTimeout,
            [this, alive = m_alive, name = maintenance.instance](InstanceOrderOutcome outcome) {
                if (*alive)
                    orderAnswered(name, outcome);
            });
}

void FleetController::orderAnswered(const std::string &instance, InstanceOrderOutcome outcome)
{
    const auto it = m_orders.find(instance);
    if (it == m_orders.end())
        return;
    const auto wave = it->second.wave;
    it->second.inFlight = false;
    switch (outcome) {
    case InstanceOrderOutcome::Accepted:
        // All tasks on the instance have ended with the order; a worker that has started since may
        // run others.
        if (const auto *worker = m_scheduler.worker(it->second.workerBefore);
            worker != nullptr && !startedAfter(*worker, it->second))
            m_scheduler.retireWorker(it->second.workerBefore, Scheduler::WorkerEnd::Down,
                                     EventLoop::now());
        it->second.answered = true;
        it->second.sentAt = EventLoop::now();
        if (wave != 0) {
            ++m_counts.maintained;
            m_maintenance.accepted(wave, instance, EventLoop::now());
        }
        return;
    case InstanceOrderOutcome::Unknown:
        // The order may have been carried out or may still be; the next lists show its effect.
        ++m_counts.ordersUnanswered;
        return;
    case InstanceOrderOutcome::OtherWave:
        m_maintenance.excluded(wave, instance);
        break;
    case InstanceOrderOutcome::Fenced:
        m_context.onNewerOwner();
        break;
    case InstanceOrderOutcome::Busy:
    case InstanceOrderOutcome::Invalid:
    case InstanceOrderOutcome::NotDone:
        break;
    }
    ++m_counts.ordersRefused;
    logWarning("instance-order-refused",
               {{"instance", instance}, {"outcome", std::to_string(static_cast<int>(outcome))}});
    m_orders.erase(it);
}

void FleetController::saveWaves()
{
    if (m_savingWaves || !m_context.mayGiveOrders())
        return;
    for (const auto number : m_maintenance.waves()) {
        const auto &done = m_maintenance.maintainedInstances(number);
        const bool completed = m_maintenance.completed(number);
        const auto saved = m_savedMaintainedCounts.find(number);
        if (saved != m_savedMaintainedCounts.end() && saved->second == done.size()
            && (!completed || m_savedCompleted.contains(number)))
            continue;
        const auto name = std::to_string(number);
        const auto key = nodekeys::key(nodekeys::waves, name);
        ConditionalWrite write;
        write.expected.push_back({std::string(nodekeys::owner), m_fence});
        write.writes.push_back({key, nlohmann::json(done).dump(), 0});
        write.writes.push_back(
                {platform::prefixWaveStatus + name, platform::encodeWaveStatus(completed), 0});
        m_savingWaves = true;
        m_context.store.write(write, [this, alive = m_alive, number, count = done.size(),
                                      completed](const Result<WriteOutcome> &outcome) {
            if (!*alive)
                return;
            m_savingWaves = false;
            if (!outcome || !outcome->applied)
                return;
            m_savedMaintainedCounts[number] = count;
            if (completed)
                m_savedCompleted.insert(number);
        });
        return;
    }
}

} // namespace dragonflysill
