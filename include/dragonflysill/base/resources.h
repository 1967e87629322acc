#pragma once

#include <cstdint>

namespace dragonflysill {

/** Resources of a worker, or resources that a task needs. */
struct Resources
{
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;

    Resources &operator+=(const Resources &other)
    {
        milliCores += other.milliCores;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }

    Resources &operator-=(const Resources &other)
    {
        milliCores -= other.milliCores;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }

    friend Resources operator+(Resources a, const Resources &b) { return a += b; }
    friend Resources operator-(Resources a, const Resources &b) { return a -= b; }

    /** Returns true if every resource in @p need is at most the one held here. */
    [[nodiscard]] bool covers(const Resources &need) const
    {
        return need.milliCores <= milliCores && need.memoryMb <= memoryMb
               && need.accelerators <= accelerators;
    }

    /** Returns every resource multiplied by @p count. */
    [[nodiscard]] Resources times(std::int64_t count) const
    {
        return {milliCores * count, memoryMb * count, accelerators * count};
    }
};

} // namespace dragonflysill
