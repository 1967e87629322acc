#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** A stated goal of a measurement. */
struct BenchTarget
{
    enum class Bound { AtMost, AtLeast };
    Bound bound = Bound::AtMost;
    double value = 0;
};

/** The figures of one measurement; written as build/bench/NAME.json and printed as a table. */
class BenchReport
{
public:
    /**
     * @param name the measurement's name
     * @param seed the seed that the measurement used
     */
    BenchReport(std::string name, std::uint64_t seed);

    /**
     * Adds a figure.
     * @param name what was measured
     * @param value the measured value
     * @param unit its unit, for example "ms"
     * @param target the stated goal, if there is one; never taken from the measured value
     * @param baseline the same figure of the baseline policy, if it was measured
     */
    void add(std::string name, double value, std::string unit,
             std::optional<BenchTarget> target = std::nullopt,
             std::optional<double> baseline = std::nullopt);

    /** Prints the table and writes the file; returns false if the file cannot be written. */
    [[nodiscard]] bool write(const std::string &directory = "build/bench") const;

    /** Returns true if every figure with a target meets it. */
    [[nodiscard]] bool allMet() const;

private:
    struct Figure
    {
        std::string name;
        double value;
        std::string unit;
        std::optional<BenchTarget> target;
        std::optional<double> baseline;
    };

    static bool met(const Figure &figure);

    std::string m_name;
    std::uint64_t m_seed;
    std::vector<Figure> m_figures;
};

} // namespace dragonflysill
