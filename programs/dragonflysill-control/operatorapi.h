#pragma once

#include "controlcontext.h"
#include "operatorviews.h"

#include "dragonflysill/base/result.h"
#include "dragonflysill/contracts/acceptance.h"
#include "dragonflysill/telemetry/httplistener.h"
#include "dragonflysill/zones/rollout.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace dragonflysill {

/**
 * The operators' HTTP interface of a control process: accepts tickets and shows the state. Answers
 * that concern all control processes are merged from those that can be reached. Owns its threads;
 * the context belongs to the caller and must outlive it.
 */
class OperatorApi
{
public:
    explicit OperatorApi(ControlContext &context);
    ~OperatorApi();

    OperatorApi(const OperatorApi &) = delete;
    OperatorApi &operator=(const OperatorApi &) = delete;

    /**
     * Binds the context's operator address and serves in threads of its own.
     * @return the port, or SettingsInvalid or Unreachable if the address cannot be bound
     */
    Result<int> start();

    /** Stops serving and joins the threads. */
    void stop();

private:
    void addTicketRoutes();
    void addStateRoutes();
    void addLocalRoutes();
    void answerTicket(const httplib::Request &request, httplib::Response &response, bool write);
    void answerHistory(const httplib::Request &request, httplib::Response &response);
    void answerOneTicket(const httplib::Request &request, httplib::Response &response);
    void answerExplain(const httplib::Request &request, httplib::Response &response);
    void answerRecord(const Result<TicketRecord> &record, httplib::Response &response);
    void noteOutcome(const AcceptanceOutcome &outcome);
    [[nodiscard]] OperatorState collectState() const;
    [[nodiscard]] nlohmann::json statusDocument() const;
    [[nodiscard]] nlohmann::json rolloutsDocument() const;
    [[nodiscard]] nlohmann::json rolloutOf(std::int64_t ticket) const;
    void trackRollouts();

    ControlContext &m_context;
    TicketProcessor m_desk;
    httplib::Server m_server;
    HttpListener m_listener{m_server};

    mutable std::mutex m_rolloutMutex; ///< Guards the tracker and m_stopping.
    std::condition_variable m_rolloutChanged;
    RolloutTracker m_rollouts;
    bool m_stopping = false;
    std::thread m_rolloutThread;

    prometheus::Family<prometheus::Counter> &m_ticketCounters;
    prometheus::Histogram &m_rolloutSeconds;
    prometheus::Gauge &m_openRollouts;
};

} // namespace dragonflysill
