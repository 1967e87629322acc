#include "distribution.h"

#include "dragonflysill/base/random.h"
#include "dragonflysill/wire/codec.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace dragonflysill {

namespace {

/** One-way latency between availability zones and to the store, in ms. */
constexpr double hopMs = 0.5;
/** Linux's minimum retransmission timeout, in ms; it doubles with each consecutive loss. */
constexpr double retransmitMs = 200;
constexpr double frameHeaderBytes = 4;
/** Size of a watch event of the store's JSON gateway without the base64 key and value. */
constexpr double storeEventBytes = 220;
constexpr double base64Factor = 4.0 / 3;

KeyUpdate typicalChange()
{
    const std::string value = R"({"name":"instance-1234","address":"10.0.12.34:8080",)"
                              R"("zone":"zone-1","rack":"rack-17","pool":"pool-12","epoch":17,)"
                              R"("phase":"serving","target_pool":"","since_ms":1796362445637})";
    return {"/dragonflysill/instances/instance-1234", value, 123456, false};
}

double measureDelta()
{
    const Envelope envelope{{1, 1}, ViewDelta{123455, 123456, false, {typicalChange()}, false}};
    return static_cast<double>(encodeEnvelope(envelope).size()) + frameHeaderBytes;
}

double deltaBytes()
{
    static const double bytes = measureDelta();
    return bytes;
}

double storeBytes()
{
    const KeyUpdate change = typicalChange();
    return storeEventBytes
           + static_cast<double>(change.key.size() + change.value.size()) * base64Factor;
}

/** Returns random times of one hop, including retransmissions. */
class Hop
{
public:
    Hop(double loss, Random &random)
        : m_loss(loss)
        , m_random(random)
    {
    }

    double operator()()
    {
        double time = hopMs;
        for (double timeout = retransmitMs; m_random.unit() < m_loss; timeout *= 2)
            time += timeout;
        return time;
    }

private:
    double m_loss;
    Random &m_random;
};

struct Change
{
    double everywhereMs = 0;
    std::vector<double> bytes;
};

Change changeByWatch(const DistributionSetup &setup, Hop &hop)
{
    Change change;
    for (int n = 0; n < setup.members; ++n) {
        change.everywhereMs = std::max(change.everywhereMs, hop());
        change.bytes.push_back(storeBytes());
    }
    return change;
}

Change changeByRelay(const DistributionSetup &setup, Hop &hop)
{
    Change change;
    change.bytes.assign(static_cast<std::size_t>(setup.members), deltaBytes());
    for (int zone = 0; zone < setup.zones; ++zone) {
        const double atRelay = hop();
        change.everywhereMs = std::max(change.everywhereMs, atRelay);
        auto &relayBytes = change.bytes[static_cast<std::size_t>(zone)];
        relayBytes = storeBytes();
        for (int n = zone + setup.zones; n < setup.members; n += setup.zones) {
            change.everywhereMs = std::max(change.everywhereMs, atRelay + hop());
            relayBytes += deltaBytes();
        }
    }
    return change;
}

Change changeByGossip(const DistributionSetup &setup, Random &random)
{
    const auto size = static_cast<std::size_t>(setup.members);
    Change change;
    change.bytes.assign(size, 0);
    change.bytes[0] = storeBytes();
    std::vector<bool> informed(size, false);
    informed[0] = true;
    std::size_t count = 1;
    std::vector<std::pair<double, std::size_t>> phases(size);
    for (std::size_t n = 0; n < size; ++n)
        phases[n] = {random.unit() * setup.gossipMs, n};
    std::sort(phases.begin(), phases.end());
    for (double round = 0; count < size; round += setup.gossipMs) {
        for (const auto &[phase, sender] : phases) {
            if (!informed[sender])
                continue;
            const std::size_t draw = random.below(size - 1);
            const std::size_t target = draw < sender ? draw : draw + 1;
            change.bytes[sender] += deltaBytes();
            if (random.unit() < setup.loss)
                continue;
            change.bytes[target] += deltaBytes();
            if (informed[target])
                continue;
            informed[target] = true;
            ++count;
            change.everywhereMs = round + phase + hopMs;
        }
    }
    return change;
}

Change simulateOne(const DistributionSetup &setup, Random &random)
{
    Hop hop(setup.loss, random);
    switch (setup.distribution) {
    case Distribution::WatchPerMember:
        return changeByWatch(setup, hop);
    case Distribution::RelayPerZone:
        return changeByRelay(setup, hop);
    case Distribution::Gossip:
        break;
    }
    return changeByGossip(setup, random);
}

} // namespace

std::string_view toText(Distribution distribution)
{
    switch (distribution) {
    case Distribution::WatchPerMember:
        return "watch per member";
    case Distribution::RelayPerZone:
        return "relay per zone";
    case Distribution::Gossip:
        break;
    }
    return "gossip";
}

DistributionResult simulateChanges(const DistributionSetup &setup, int changes)
{
    Random random(setup.seed);
    std::vector<double> times;
    std::vector<double> bytes(static_cast<std::size_t>(setup.members));
    for (int n = 0; n < changes; ++n) {
        const Change change = simulateOne(setup, random);
        times.push_back(change.everywhereMs);
        for (std::size_t k = 0; k < bytes.size(); ++k)
            bytes[k] += change.bytes[k] / changes;
    }
    std::sort(times.begin(), times.end());
    DistributionResult result;
    result.medianMs = times[times.size() / 2];
    result.p99Ms = times[times.size() * 99 / 100];
    result.watches = setup.distribution == Distribution::WatchPerMember ? setup.members
                     : setup.distribution == Distribution::RelayPerZone ? setup.zones
                                                                        : 1;
    for (const double it : bytes)
        result.meanBytes += it / static_cast<double>(bytes.size());
    result.largestBytes = *std::max_element(bytes.begin(), bytes.end());
    return result;
}

} // namespace dragonflysill
