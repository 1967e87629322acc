#pragma once

#include "dragonflysill/store/storeclient.h"
#include "dragonflysill/zones/zoneservice.h"

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace dragonflysill {

/**
 * Copies the figures of the zone service and the store client into the registry once a second. Owns
 * its thread; the service and the client belong to main() and must outlive it.
 */
class ControlMetrics
{
public:
    ControlMetrics(std::shared_ptr<prometheus::Registry> registry, const ZoneService &service,
                   const StoreClient &store);
    ~ControlMetrics();

    ControlMetrics(const ControlMetrics &) = delete;
    ControlMetrics &operator=(const ControlMetrics &) = delete;

    void start();
    void stop();

private:
    using Reader = std::function<double(const ZoneMetrics &, const StoreClientCounters &)>;

    void add(const std::string &name, const std::string &help, Reader reader);
    void run();
    void update();

    std::shared_ptr<prometheus::Registry> m_registry;
    const ZoneService &m_service;
    const StoreClient &m_store;
    std::vector<std::pair<prometheus::Gauge *, Reader>> m_gauges;
    std::mutex m_mutex;
    std::condition_variable m_wakeup;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace dragonflysill
