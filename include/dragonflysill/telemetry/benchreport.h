#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** The bound that a measured value should meet. */
struct BenchTarget
{
    enum class Bound { AtMost, AtLeast };
    Bound bound = Bound::AtMost;
    double value = 0;
};

/** Measured values of one benchmark; written to build/bench/NAME.json and printed as a table. */
class BenchReport
{
public:
    /**
     * @param name the benchmark's name
     * @param seed the seed of its random numbers
     */
    BenchReport(std::string name, std::uint64_t seed);

    /**
     * Adds a measured value.
     * @param name what was measured
     * @param value the measured value
     * @param unit its unit, for example "ms"
     * @param target the bound to meet, if any; must not be derived from the measured value
     * @param baseline the same value measured with the baseline policy, if any
     */
    void add(std::string name, double value, std::string unit,
             std::optional<BenchTarget> target = std::nullopt,
             std::optional<double> baseline = std::nullopt);

    /** Prints the table and writes the file; returns false if the file cannot be written. */
    [[nodiscard]] bool write(const std::string &directory = "build/bench") const;

    /** Returns true if every value that has a target meets it. */
    [[nodiscard]] bool allMet() const;

private:
    struct Measurement
    {
        std::string name;
        double value;
        std::string unit;
        std::optional<BenchTarget> target;
        std::optional<double> baseline;
    };

    static bool meetsTarget(const Measurement &measurement);

    std::string m_name;
    std::uint64_t m_seed;
    std::vector<Measurement> m_measurements;
};

} // namespace dragonflysill
