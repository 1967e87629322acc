#pragma once

#include <string>

namespace review {

/** Properties of one executor process. */
struct ExecutorSettings
{
    std::string id;
    std::string address; ///< "IP:PORT" on which it serves.
    std::string service;
    std::string machine;
    std::string rack;
    std::string store; ///< Address of the platform's store.
    int cores = 8;
    int heartbeatMs = 1500;
    int registerDelayMs = 0; ///< Time from its start until its first status report.
    int maxHoldMs = 10000;
};

/**
 * Runs one executor as PROTOCOL.md describes it, until its standard input is closed. Events are
 * written to standard output, one a line. SIGUSR1 partitions it from everything, SIGUSR2 ends the
 * partition; its work goes on meanwhile. SIGHUP shrinks
 * its capacity to what is in use, which its next status report says; another SIGHUP restores it.
 *
 * The spec of a job is the run time of its work items in milliseconds.
 */
int runExecutor(const ExecutorSettings &settings);

} // namespace review
