#pragma once

#include "dragonflysill/zones/view.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

namespace dragonflysill {

/** Holds the newest view of a process. Thread-safe; its lock comes first in the lock order. */
class SharedView
{
public:
    SharedView();

    /** Returns the newest view; never null. */
    [[nodiscard]] ViewPointer get() const;

    /** Installs a view, unless its revision is lower than that of the current one. */
    void set(ViewPointer view);

    /** Waits for a view with at least the given revision; returns false after the timeout. */
    bool waitFor(std::int64_t revision, std::chrono::milliseconds timeout) const;

    /**
     * Registers a function that is called after each installed view, in the thread that installed
     * it and without a lock held. All functions must be registered before the first set().
     */
    void onChange(std::function<void(const ViewPointer &)> function);

private:
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    ViewPointer m_view;
    std::vector<std::function<void(const ViewPointer &)>> m_functions;
};

} // namespace dragonflysill
