#pragma once

namespace dragonflysill {

/**
 * Turns SIGTERM and SIGINT into a graceful stop. Construct it in main() before any thread starts:
 * it blocks both signals, which the threads inherit, and ignores SIGPIPE.
 */
class StopSignal
{
public:
    StopSignal();

    /** Waits for SIGTERM or SIGINT. */
    void wait() const;
};

} // namespace dragonflysill
