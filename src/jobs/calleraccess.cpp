#include "dragonflysill/jobs/calleraccess.h"

namespace dragonflysill {

Access::ToJob Access::toJob(std::string_view jobTeam) const
{
    if (!usesTeams || jobTeam.empty())
        return ToJob::Allowed;
    if (team != jobTeam)
        return ToJob::OtherTeam;
    return proven ? ToJob::Allowed : ToJob::CannotTell;
}

void CallerAccess::setConfiguration(const FleetConfiguration &configuration)
{
    m_usesTeams = configuration.usesTeams;
    m_directory = TeamDirectory(configuration.teams);
}

bool CallerAccess::acceptsKeys(TimePoint now) const
{
    return !needsProof() || m_proof.covers(m_settings.revocationTime, now);
}

Access CallerAccess::decide(const Queue &queue, std::string_view key, TimePoint now) const
{
    if (!m_usesTeams)
        return {Access::Decision::Public, {}, false, true};
    const auto *team = m_directory.team(key);
    const auto name = team == nullptr ? std::string() : *team;
    const bool proven = acceptsKeys(now);
    if (queue.isPublic)
        return {Access::Decision::Public, name, true, proven};
    if (!proven)
        return {Access::Decision::CannotTell, name, true, false};
    if (team != nullptr)
        return {Access::Decision::Allowed, name, true, true};
    // A team may have received the key meanwhile.
    const auto age = m_proof.age(now);
    const bool current = !needsProof() || (age && *age <= m_settings.configurationTime);
    return {current ? Access::Decision::UnknownKey : Access::Decision::CannotTell, {}, true, true};
}

} // namespace dragonflysill
