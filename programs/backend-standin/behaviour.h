#pragma once

#include "dragonflysill/base/random.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

namespace dragonflysill {

/** The distribution of the service times. */
struct ServiceTime
{
    enum class Shape { Fixed, Exponential, HeavyTail };
    Shape shape = Shape::Exponential;
    double meanMs = 5;

    /** Draws a service time in ms. */
    [[nodiscard]] double draw(Random &random) const;
};

/** The faults of a backend server; POST /standin/behaviour sets them. */
struct BehaviourSettings
{
    double slowFactor = 1; ///< Multiplies every service time.
    double failRate = 0; ///< Share of requests that run and answer 500.
    double dropRate = 0; ///< Share of requests that run and whose connection is then closed.
    double lateRate = 0; ///< Share of requests that run and answer late.
    double lateMs = 0; ///< Largest additional delay of a late answer.
    bool hang = false; ///< Requests run, keep their slot and are never answered.
    bool halfOpen = false; ///< Connections are accepted; requests neither run nor are answered.
    bool refuse = false; ///< Every request is refused before it starts.
};

/** The service time and the faults of one request. */
struct RequestPlan
{
    std::chrono::microseconds serviceTime{0};
    bool fails = false;
    bool drops = false;
};

/** Draws the service time and the faults of each request, from a seed. Thread-safe. */
class Behaviour
{
public:
    Behaviour(ServiceTime serviceTime, std::uint64_t seed)
        : m_serviceTime(serviceTime)
        , m_random(seed)
    {
    }

    /** Changes the settings that are fields of the JSON object. */
    void change(const nlohmann::json &json);

    [[nodiscard]] BehaviourSettings settings() const;

    /** Draws the service time and the faults of the next request. */
    RequestPlan plan();

private:
    mutable std::mutex m_mutex;
    ServiceTime m_serviceTime;
    Random m_random;
    BehaviourSettings m_settings;
};

/** Returns the settings as the JSON of /standin/behaviour. */
nlohmann::json toJson(const BehaviourSettings &settings);

} // namespace dragonflysill
