#include "dragonflysill/machines/fleetinputs.h"

namespace dragonflysill {

void Acknowledgements::add(std::string_view entry, std::string_view instance, std::int64_t epoch)
{
    auto &epochs = m_epochs[std::string(entry)];
    epochs.insert_or_assign(std::string(instance), epoch);
}

bool Acknowledgements::has(std::string_view entry, std::string_view instance,
                           std::int64_t epoch) const
{
    const auto ofEntry = m_epochs.find(entry);
    if (ofEntry == m_epochs.end())
        return false;
    const auto it = ofEntry->second.find(instance);
    return it != ofEntry->second.end() && it->second == epoch;
}

ByName<DeclaredInstance> declaredInstances(const Configuration &configuration)
{
    ByName<DeclaredInstance> declared;
    for (const auto &pool : configuration.pools) {
        for (const auto &it : pool.second.instances)
            declared.insert_or_assign(it.name, DeclaredInstance{pool.first, it});
    }
    return declared;
}

} // namespace dragonflysill
