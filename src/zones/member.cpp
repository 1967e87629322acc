#include "dragonflysill/zones/member.h"

#include <nlohmann/json.hpp>

namespace dragonflysill {

std::string encodeMember(const Member &member)
{
    return nlohmann::json{{"name", member.name},
                          {"region", member.region},
                          {"zone", member.zone},
                          {"peer_address", member.peerAddress},
                          {"operator_address", member.operatorAddress},
                          {"entry_address", member.entryAddress},
                          {"admin_address", member.adminAddress},
                          {"incarnation", member.incarnation}}
            .dump();
}

Result<Member> decodeMember(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded())
        return Error(ErrorKind::Corrupt, "member is not JSON");
    try {
        Member member;
        json.at("name").get_to(member.name);
        member.region = json.value("region", std::string());
        json.at("zone").get_to(member.zone);
        json.at("peer_address").get_to(member.peerAddress);
        member.operatorAddress = json.value("operator_address", std::string());
        member.entryAddress = json.value("entry_address", std::string());
        member.adminAddress = json.value("admin_address", std::string());
        json.at("incarnation").get_to(member.incarnation);
        return member;
    } catch (const nlohmann::json::exception &e) {
        return Error(ErrorKind::Corrupt, e.what());
    }
}

} // namespace dragonflysill
