#include "dragonflysill/telemetry/benchreport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <utility>

namespace dragonflysill {

BenchReport::BenchReport(std::string name, std::uint64_t seed)
    : m_name(std::move(name))
    , m_seed(seed)
{
}

void BenchReport::add(std::string name, double value, std::string unit,
                      std::optional<BenchTarget> target, std::optional<double> baseline)
{
    m_measurements.push_back({std::move(name), value, std::move(unit), target, baseline});
}

bool BenchReport::meetsTarget(const Measurement &measurement)
{
    if (!measurement.target)
        return true;
    if (measurement.target->bound == BenchTarget::Bound::AtMost)
        return measurement.value <= measurement.target->value;
    return measurement.value >= measurement.target->value;
}

bool BenchReport::allMet() const
{
    return std::all_of(m_measurements.begin(), m_measurements.end(), meetsTarget);
}

bool BenchReport::write(const std::string &directory) const
{
    auto measurements = nlohmann::json::array();
    std::printf("%s (seed %llu)\n", m_name.c_str(), static_cast<unsigned long long>(m_seed));
    for (const auto &it : m_measurements) {
        nlohmann::json json{{"name", it.name}, {"value", it.value}, {"unit", it.unit}};
        json["target"] = it.target ? nlohmann::json(it.target->value) : nlohmann::json();
        json["baseline"] = it.baseline ? nlohmann::json(*it.baseline) : nlohmann::json();
        json["met"] = it.target ? nlohmann::json(meetsTarget(it)) : nlohmann::json();
        measurements.push_back(std::move(json));
        std::printf("  %-52s %14.4g %-8s", it.name.c_str(), it.value, it.unit.c_str());
        if (it.target) {
            const bool atMost = it.target->bound == BenchTarget::Bound::AtMost;
            std::printf("  target %s %.4g: %s", atMost ? "<=" : ">=", it.target->value,
                        meetsTarget(it) ? "met" : "NOT MET");
        }
        if (it.baseline)
            std::printf("  baseline %.4g", *it.baseline);
        std::printf("\n");
    }
    std::filesystem::create_directories(directory);
    std::ofstream file(directory + "/" + m_name + ".json");
    file << nlohmann::json{{"name", m_name}, {"seed", m_seed}, {"figures", measurements}}.dump(2)
         << '\n';
    return file.good();
}

} // namespace dragonflysill
