#include "dragonflysill/machines/waveprogress.h"

#include <nlohmann/json.hpp>

namespace dragonflysill {

std::string encodeWave(const WaveProgress &progress)
{
    auto active = nlohmann::json::object();
    for (const auto &it : progress.active)
        active[it.first] = {{"epoch", it.second.epoch}, {"drained", it.second.drained}};
    return nlohmann::json{{"name", progress.name},
                          {"ticket", progress.ticket},
                          {"state", toText(progress.state)},
                          {"pools", progress.pools},
                          {"active", active},
                          {"done", progress.done},
                          {"since_ms", progress.sinceMs}}
            .dump();
}

namespace internal {

bool parseWaveState(std::string_view text, WaveState &state)
{
    for (const auto it :
         {WaveState::Running, WaveState::Paused, WaveState::Finished, WaveState::Cancelled}) {
        if (toText(it) != text)
            continue;
        state = it;
        return true;
    }
    return false;
}

} // namespace internal

Result<WaveProgress> decodeWave(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded())
        return Error(ErrorKind::Corrupt, "wave is not JSON");
    try {
        WaveProgress progress;
        json.at("name").get_to(progress.name);
        json.at("ticket").get_to(progress.ticket);
        if (!internal::parseWaveState(json.at("state").get<std::string>(), progress.state))
            return Error(ErrorKind::Corrupt, "wave has an unknown state");
        json.at("pools").get_to(progress.pools);
        for (const auto &it : json.at("active").items())
            progress.active[it.key()] = {it.value().at("epoch").get<std::int64_t>(),
                                         it.value().at("drained").get<bool>()};
        for (const auto &it : json.at("done"))
            progress.done.insert(it.get<std::string>());
        json.at("since_ms").get_to(progress.sinceMs);
        return progress;
    } catch (const nlohmann::json::exception &e) {
        return Error(ErrorKind::Corrupt, e.what());
    }
}

} // namespace dragonflysill
