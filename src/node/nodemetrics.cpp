#include "dragonflysill/node/nodemetrics.h"

#include "dragonflysill/telemetry/log.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <limits>
#include <sstream>
#include <utility>
#include <vector>

namespace dragonflysill {

namespace internal {

using Families = std::vector<prometheus::MetricFamily>;

prometheus::MetricFamily &add(Families &families, const char *name, const char *help,
                              prometheus::MetricType type)
{
    auto &family = families.emplace_back();
    family.name = std::string("dragonflysill_") + name;
    family.help = help;
    family.type = type;
    family.metric.emplace_back();
    return family;
}

template <typename T>
void counter(Families &families, const char *name, const char *help, T value)
{
    add(families, name, help, prometheus::MetricType::Counter).metric[0].counter.value
            = static_cast<double>(value);
}

template <typename T>
void gauge(Families &families, const char *name, const char *help, T value)
{
    add(families, name, help, prometheus::MetricType::Gauge).metric[0].gauge.value
            = static_cast<double>(value);
}

void histogram(Families &families, const char *name, const char *help,
               const LatencyHistogram &values)
{
    auto &target = add(families, name, help, prometheus::MetricType::Histogram).metric[0].histogram;
    std::uint64_t total = 0;
    for (std::size_t n = 0; n < values.counts().size(); ++n) {
        total += values.counts().at(n);
        const bool last = n == LatencyHistogram::bounds.size();
        target.bucket.push_back({total, last ? std::numeric_limits<double>::infinity()
                                             : LatencyHistogram::bounds.at(n)});
    }
    target.sample_count = total;
    target.sample_sum = values.sum();
}

/** Adds a family with one value for each peer. */
template <typename Value>
void perPeer(Families &families, const char *name, const char *help, const NodeMetrics &metrics,
             Value value)
{
    auto &family = add(families, name, help, prometheus::MetricType::Counter);
    family.metric.clear();
    for (const auto &[peer, traffic] : metrics.traffic) {
        auto &metric = family.metric.emplace_back();
        metric.label.push_back({"peer", peer});
        metric.counter.value = static_cast<double>(value(traffic));
    }
}

void addTraffic(Families &families, const NodeMetrics &metrics)
{
    std::uint64_t opened = 0;
    for (const auto &[peer, traffic] : metrics.traffic) {
        if (peer != "callers")
            opened += traffic.connectionsOpened;
    }
    counter(families, "connections_opened_total", "Connections opened to other systems", opened);
    perPeer(families, "sent_bytes_total", "Bytes sent by peer", metrics,
            [](const HttpTraffic &it) { return it.bytesSent; });
    perPeer(families, "received_bytes_total", "Bytes received by peer", metrics,
            [](const HttpTraffic &it) { return it.bytesReceived; });
    perPeer(families, "calls_total", "Calls by peer", metrics,
            [](const HttpTraffic &it) { return it.calls; });
    perPeer(families, "call_timeouts_total", "Calls without a response in time by peer", metrics,
            [](const HttpTraffic &it) { return it.timeouts; });
    perPeer(families, "call_questions_total", "Questions who answers, before calls, by peer",
            metrics, [](const HttpTraffic &it) { return it.questions; });
    for (const auto &[peer, traffic] : metrics.traffic) {
        if (peer == "orders")
            histogram(families, "order_send_seconds",
                      "Time until an order to a worker was written to its connection",
                      traffic.sendDelay);
    }
}

void addAccess(Families &families, const NodeMetrics &metrics)
{
    counter(families, "configurations_refused_total", "Configurations that did not come into force",
            metrics.configurationsRefused);
    gauge(families, "configuration_refused_revision",
          "Revision of the newest configuration if it was refused, otherwise 0",
          metrics.refusedRevision);
    if (metrics.proofAge)
        gauge(families, "configuration_proof_age_seconds",
              "Time since the configuration was known to be the newest one",
              toSeconds(*metrics.proofAge));
    auto &refused = add(families, "access_refused_total",
                        "Calls refused because of their key, by cause and team of the key",
                        prometheus::MetricType::Counter);
    refused.metric.clear();
    for (const auto &[kind, count] : metrics.service.accessRefused) {
        auto &metric = refused.metric.emplace_back();
        metric.label.push_back({"cause", std::string(accessRefusalName(kind.first))});
        metric.label.push_back({"team", kind.second});
        metric.counter.value = static_cast<double>(count);
    }
}

/** Adds a family with one value for each team and resource. */
template <typename Amount>
void perTeam(Families &families, const char *name, const char *help, const TeamUsage &teams,
             Amount amount)
{
    auto &family = add(families, name, help, prometheus::MetricType::Gauge);
    family.metric.clear();
    for (const auto &[team, account] : teams.accounts()) {
        const Resources &value = amount(account);
        const std::array<std::pair<const char *, double>, 3> resources{
                {{"cores", static_cast<double>(value.milliCores) / 1000},
                 {"memory_mb", static_cast<double>(value.memoryMb)},
                 {"accelerators", static_cast<double>(value.accelerators)}}};
        for (const auto &[resource, number] : resources) {
            auto &metric = family.metric.emplace_back();
            metric.label.push_back({"team", team});
            metric.label.push_back({"resource", resource});
            metric.gauge.value = number;
        }
    }
}

/** Adds the jobs of teams by the rate that they are entitled to, and the deferred ones. */
void addRates(Families &families, const Scheduler &scheduler)
{
    if (scheduler.teamRates().counts().empty())
        return;
    auto &jobs = add(families, "team_jobs_total",
                     "Jobs by team and by the rate that it is entitled to",
                     prometheus::MetricType::Counter);
    jobs.metric.clear();
    for (const auto &[team, counts] : scheduler.teamRates().counts()) {
        for (std::size_t n = 0; n < rateClassCount; ++n) {
            auto &metric = jobs.metric.emplace_back();
            metric.label.push_back({"team", team->name});
            metric.label.push_back({"rate", std::string(rateClassName(static_cast<RateClass>(n)))});
            metric.counter.value = static_cast<double>(counts.at(n));
        }
    }
    auto &deferred = add(families, "deferred_jobs",
                         "Jobs that are served after others because not all can be in time",
                         prometheus::MetricType::Gauge);
    deferred.metric.clear();
    for (const auto &[pool, count] : scheduler.deferredJobs()) {
        auto &metric = deferred.metric.emplace_back();
        metric.label.push_back({"pool", pool});
        metric.gauge.value = count;
    }
}

void addTeams(Families &families, const TeamUsage &teams)
{
    if (teams.accounts().empty())
        return;
    perTeam(families, "team_running", "What teams may have running", teams,
            [](const TeamAccount &it) -> const Resources & { return it.running; });
    perTeam(families, "team_unconfirmed",
            "Upper bound of what workers that have not answered may run for teams", teams,
            [](const TeamAccount &it) -> const Resources & { return it.inherited; });
    perTeam(families, "team_ceiling", "Ceilings of teams; 0 for no limit", teams,
            [](const TeamAccount &it) -> const Resources & { return it.ceiling; });
}

/** Adds a family with one value for each share of the connections. */
template <typename Value>
void perShare(Families &families, const char *name, const char *help,
              const ConnectionBudget &budget, Value value)
{
    auto &family = add(families, name, help, prometheus::MetricType::Gauge);
    family.metric.clear();
    for (const auto &it : budget.shares()) {
        auto &metric = family.metric.emplace_back();
        metric.label.push_back({"share", it.name});
        metric.gauge.value = static_cast<double>(value(*it.share));
    }
}

void addConnections(Families &families, const ConnectionBudget &budget)
{
    using Share = ConnectionShare;
    perShare(families, "connections", "Open connections by share", budget,
             [](const Share &it) { return it.connections(); });
    perShare(families, "connections_limit", "Maximum of connections", budget,
             [](const Share &it) { return it.limits().connections; });
    perShare(families, "connection_bytes", "Memory held by connections", budget,
             [](const Share &it) { return it.heldBytes(); });
    perShare(families, "connection_bytes_limit", "Maximum of connection_bytes", budget,
             [](const Share &it) { return it.limits().bytes; });
    auto &closed = add(families, "connections_closed_total",
                       "Connections closed because of a limit, by share and cause",
                       prometheus::MetricType::Counter);
    closed.metric.clear();
    for (const auto &it : budget.shares()) {
        for (std::size_t n = 0; n < closeCauseCount; ++n) {
            const auto cause = static_cast<CloseCause>(n);
            auto &metric = closed.metric.emplace_back();
            metric.label.push_back({"share", it.name});
            metric.label.push_back({"cause", std::string(closeCauseName(cause))});
            metric.counter.value = static_cast<double>(it.share->closed(cause));
        }
    }
}

void addOwner(Families &families, const ScheduleOwner &owner)
{
    const auto &calls = owner.workerCallCounts();
    const auto &fleet = owner.fleetCounts();
    gauge(families, "open_jobs", "Jobs that have not ended", owner.scheduler().openJobs());
    gauge(families, "workers", "Workers known to the scheduling node",
          owner.scheduler().workers().size());
    counter(families, "holds_total", "Holds sent to workers", calls.holds);
    histogram(families, "hold_delay_seconds", "Time from when a hold was due until it was sent",
              calls.holdDelay);
    counter(families, "decisions_total", "Scheduling decisions", owner.decisionCounts().decisions);
    counter(families, "decision_seconds_total", "Time spent on scheduling decisions",
            toSeconds(owner.decisionCounts().time));
    histogram(families, "decision_delay_seconds", "Time from an event until its decision",
              owner.decisionCounts().delay);
    counter(families, "holds_unanswered_total", "Holds without an answer", calls.holdsUnanswered);
    counter(families, "starts_total", "Starts sent to workers", calls.starts);
    counter(families, "starts_refused_total", "Starts that workers refused", calls.startsRefused);
    counter(families, "starts_unanswered_total", "Starts without an answer",
            calls.startsUnanswered);
    counter(families, "starts_not_sent_total", "Starts that were not sent to their worker",
            calls.startsNotSent);
    auto &anomalies = add(families, "run_anomalies_total",
                          "Runs released without an end or reported but not known, by reason",
                          prometheus::MetricType::Counter);
    anomalies.metric.clear();
    for (const auto &[kind, count] : owner.runAnomalyCounts()) {
        auto &metric = anomalies.metric.emplace_back();
        metric.label.push_back({"reason", std::string(runAnomalyName(kind))});
        metric.counter.value = static_cast<double>(count);
    }
    addTeams(families, owner.scheduler().teamUsage());
    addRates(families, owner.scheduler());
    counter(families, "stops_total", "Stops sent to workers", calls.stops);
    counter(families, "paces_total", "Orders that limit the speed of tasks", calls.paces);
    counter(families, "advice_total", "Questions about admitted workers", calls.admissionRequests);
    counter(families, "instance_moves_total", "Moves of instances ordered", fleet.moves);
    counter(families, "instances_maintained_total", "Instances taken down for maintenance",
            fleet.maintained);
    counter(families, "instance_orders_refused_total", "Orders for instances that were refused",
            fleet.ordersRefused);
}

} // namespace internal

std::string renderMetrics(const NodeMetrics &metrics)
{
    internal::Families families;
    const auto &service = metrics.service;
    internal::gauge(families, "ready", "1 while the node takes new callers", metrics.ready);
    internal::gauge(families, "store_reachable", "1 while the store answers",
                    metrics.storeReachable);
    internal::gauge(families, "owner", "1 while this node schedules", metrics.owner != nullptr);
    internal::gauge(families, "configuration_version", "Version of the configuration in force",
                    metrics.configurationVersion);
    internal::gauge(families, "caller_connections", "Open connections of callers",
                    metrics.callerConnections);
    internal::gauge(families, "jobs_known", "Jobs in the node's replica", metrics.jobsKnown);
    internal::counter(families, "jobs_accepted_total", "Jobs accepted here", service.accepted);
    internal::counter(families, "jobs_repeated_total", "Submissions of accepted ids",
                      service.repeated);
    internal::counter(families, "jobs_rejected_total", "Submissions answered as not accepted",
                      service.rejected);
    internal::counter(families, "jobs_unknown_total", "Submissions without a known outcome",
                      service.unknown);
    internal::counter(families, "jobs_cancelled_total", "Cancels stored here", service.cancelled);
    internal::counter(families, "status_requests_total", "Requests for the state of a job",
                      service.statusRequests);
    internal::counter(families, "no_queue_total", "Requests without a queue", service.unknownQueue);
    internal::counter(families, "store_calls_total", "Calls to the store", metrics.storeCalls);
    internal::addAccess(families, metrics);
    internal::addTraffic(families, metrics);
    internal::addConnections(families, metrics.connections);
    internal::histogram(families, "loop_delay_seconds", "Time by which the event loop ran late",
                        metrics.load.loopDelay());
    internal::counter(families, "processor_seconds_total", "Processor time used by the process",
                      toSeconds(metrics.load.processorTime()));
    internal::counter(families, "log_lines_dropped_total", "Log lines dropped by the bound",
                      droppedLogLines());
    internal::histogram(families, "hand_in_seconds", "Time until the store answered a submission",
                        metrics.submissionLatency);
    if (metrics.owner != nullptr)
        internal::addOwner(families, *metrics.owner);
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, families);
    return text.str();
}

} // namespace dragonflysill
