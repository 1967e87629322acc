#include "dragonflysill/daymodel/dayshape.h"

#include <chrono>

namespace dragonflysill::daymodel {

using namespace std::chrono_literals;

const char *patternName(DayPattern pattern)
{
    switch (pattern) {
    case DayPattern::RotatingDemand:
        return "turns";
    case DayPattern::GreyWorkers:
        return "grey workers";
    case DayPattern::SlowWorkers:
        return "slow workers";
    case DayPattern::LargeBurst:
        return "large burst";
    case DayPattern::FailingJobs:
        return "hopeless jobs";
    case DayPattern::LowEstimates:
        return "low estimates";
    case DayPattern::HotTeam5:
        return "hot team, 5x";
    case DayPattern::HotTeam7:
        return "hot team, 7x";
    }
    return "unknown";
}

std::vector<DayPattern> allPatterns()
{
    return {DayPattern::RotatingDemand, DayPattern::GreyWorkers, DayPattern::SlowWorkers,
            DayPattern::LargeBurst,     DayPattern::FailingJobs, DayPattern::LowEstimates,
            DayPattern::HotTeam5,       DayPattern::HotTeam7};
}

DayShape tuboSul()
{
    DayShape shape;
    shape.name = "tubo-sul";
    shape.pools = {{"rotas", 9, {"route-quick", 7.6, 1.6, 6, 800ms, 3500}},
                   {"recebe", 9, {"intake-scan", 0.887, 2, 8, 2100ms, 7700}},
                   {"manifesto", 11, {"manifest-issue", 9.48, 1.6, 6, 800ms, 3500}},
                   {"acerto", 12, {"settle-run", 1.08, 2, 8, 2100ms, 7700}}};
    shape.standby = 8;
    shape.milliCores = 64000;
    shape.length = 34s;
    shape.busyPeriod = 4500ms;
    return shape;
}

DayShape petalCluster()
{
    DayShape shape;
    shape.name = "petal-cluster";
    shape.pools = {{"sympathy", 8, {"wreath-quote", 5.89, 1.6, 6, 1000ms, 1100}},
                   {"bridal", 9, {"wedding-plan", 1.03, 2, 8, 1700ms, 2500}},
                   {"counter", 11, {"counter-lookup", 7.37, 1.6, 6, 1000ms, 1100}},
                   {"dispatch", 12, {"route-build", 1.26, 2, 8, 1700ms, 2500}}};
    shape.standby = 8;
    shape.milliCores = 16000;
    shape.length = 34s;
    shape.busyPeriod = 4500ms;
    return shape;
}

} // namespace dragonflysill::daymodel
