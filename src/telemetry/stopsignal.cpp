#include "dragonflysill/telemetry/stopsignal.h"

#include <csignal>

namespace dragonflysill {

namespace internal {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace internal

StopSignal::StopSignal()
{
    const sigset_t signals = internal::stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void StopSignal::wait() const
{
    const sigset_t signals = internal::stopSignals();
    int received = 0;
    while (sigwait(&signals, &received) != 0) {
    }
}

} // namespace dragonflysill
