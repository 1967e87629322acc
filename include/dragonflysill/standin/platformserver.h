#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/base/tokenbucket.h"
#include "dragonflysill/standin/instancelist.h"
#include "dragonflysill/standin/memorystore.h"
#include "dragonflysill/standin/workermodel.h"

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace dragonflysill {

/** The settings of a PlatformServer. */
struct PlatformServerSettings
{
    std::chrono::milliseconds listLag{1000}; ///< Age of the reported instance list.
    std::chrono::milliseconds rebootTime{2000}; ///< Duration of a reboot.
    std::size_t threads = 256; ///< Limits open connections; each one occupies a thread.
    WorkerModelSettings workers;
    double maxWritesPerSecond = 0; ///< Store writes above the limit are refused; 0 for no limit.
    double maxReadsPerSecond = 0; ///< Store reads above the limit are refused; 0 for no limit.
};

/**
 * An HTTP server that stands in for the platform: the etcd v3 JSON gateway, the instance list with
 * drain and reboot, workers and tasks, and the fault injection of docs/design.md, section 5. The
 * faults of POST /standin/faults are documented in programs/platform-standin/README.md.
 */
class PlatformServer
{
public:
    explicit PlatformServer(PlatformServerSettings settings);
    ~PlatformServer();

    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    /**
     * Binds the address and serves requests in threads that the server owns.
     * @param port 0 chooses a free one
     * @return the port, or Unreachable if the address cannot be bound
     */
    Result<int> start(const std::string &host, int port);

    /** Ends all watches, stops serving and joins the threads. */
    void stop();

    /** Returns the store behind the gateway. */
    MemoryStore &store() { return m_store; }

private:
    using Handler = void (PlatformServer::*)(const httplib::Request &, httplib::Response &);

    /** The faults of connections and of the platform's interfaces; for the store see StoreFaults.
     */
    struct ConnectionFaults
    {
        bool drop = false; ///< Connections are closed without executing or answering the request.
        bool hang = false; ///< Requests are neither executed nor answered.
        bool platformDown = false; ///< The instance and worker interfaces answer 503.
        std::set<std::string> unreachableClients; ///< Clients to which `drop` applies.
    };

    void addRoutes();
    void addStandinRoutes();
    void addStoreRoute(const std::string &path, Handler handler);
    void addPlatformRoute(const std::string &method, const std::string &pattern, Handler handler);
    /** Returns true, and counts the call, if it exceeds the rate limit of reads or writes. */
    bool exceedsCallLimit(const httplib::Request &request);
    /**
     * Applies the connection faults to a request; while `hang` is set it blocks.
     * @return true if the connection was shut down, so that the request must not be executed
     */
    bool applyConnectionFaults(const httplib::Request &request);
    /** Replies as etcd does; OutcomeUnknown shuts down the connection instead. */
    void replyStoreError(const httplib::Request &request, httplib::Response &response,
                         const Error &error);

    void range(const httplib::Request &request, httplib::Response &response);
    void put(const httplib::Request &request, httplib::Response &response);
    void transaction(const httplib::Request &request, httplib::Response &response);
    void compaction(const httplib::Request &request, httplib::Response &response);
    void leaseGrant(const httplib::Request &request, httplib::Response &response);
    void leaseKeepAlive(const httplib::Request &request, httplib::Response &response);
    void leaseRevoke(const httplib::Request &request, httplib::Response &response);
    void watch(const httplib::Request &request, httplib::Response &response);

    void listInstances(const httplib::Request &request, httplib::Response &response);
    void drainInstance(const httplib::Request &request, httplib::Response &response);
    void rebootInstance(const httplib::Request &request, httplib::Response &response);

    void listWorkers(const httplib::Request &request, httplib::Response &response);
    void listTasks(const httplib::Request &request, httplib::Response &response);
    void startTask(const httplib::Request &request, httplib::Response &response);
    void performTaskAction(const httplib::Request &request, httplib::Response &response);

    void setWorkers(const httplib::Request &request, httplib::Response &response);
    void setJobs(const httplib::Request &request, httplib::Response &response);
    void setInstances(const httplib::Request &request, httplib::Response &response);
    void setFaults(const httplib::Request &request, httplib::Response &response);
    void getFaults(const httplib::Request &request, httplib::Response &response);
    void getCalls(const httplib::Request &request, httplib::Response &response);
    void getReboots(const httplib::Request &request, httplib::Response &response);

    const PlatformServerSettings m_settings;
    MemoryStore m_store;
    std::mutex m_mutex; ///< Guards all members below that are not atomic.
    ConnectionFaults m_faults;
    StoreEngine m_snapshot;
    InstanceList m_instances;
    WorkerModel m_workers;
    TokenBucket m_writes;
    TokenBucket m_reads;
    std::int64_t m_overLimit = 0; ///< Store calls refused because of the limits.
    std::map<std::string, std::int64_t> m_calls; ///< Platform calls by HTTP method.
    std::atomic<bool> m_stopping = false;
    httplib::Server m_server;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace dragonflysill
