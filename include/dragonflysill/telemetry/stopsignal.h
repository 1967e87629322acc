#pragma once

namespace dragonflysill {

/**
 * Waits for SIGTERM or SIGINT, so that the program can stop gracefully. Must be constructed in
 * main() before any thread starts: it blocks both signals for all threads and ignores SIGPIPE.
 */
class StopSignal
{
public:
    StopSignal();

    /** Blocks until SIGTERM or SIGINT arrives. */
    void wait() const;
};

} // namespace dragonflysill
