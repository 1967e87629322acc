#pragma once

#include "dragonflysill/contracts/configuration.h"
#include "dragonflysill/machines/instancerecord.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflysill {

/** State of an instance in the platform's list, which lags behind the actual state. */
enum class PlatformState {
    Live,
    Leaving, ///< Drained by the platform, or rebooting.
    Terminated,
};

/** Records which instances each entry process reported as drained, and at which epoch. */
class Acknowledgements
{
public:
    /** Records that an entry has no request in flight on an instance at this epoch. */
    void add(std::string_view entry, std::string_view instance, std::int64_t epoch);

    /** Returns true if the entry acknowledged the instance at exactly this epoch. */
    [[nodiscard]] bool has(std::string_view entry, std::string_view instance,
                           std::int64_t epoch) const;

    bool operator==(const Acknowledgements &) const = default;

private:
    std::map<std::string, std::map<std::string, std::int64_t, std::less<>>, std::less<>> m_epochs;
};

/** An instance of the configuration with the name of the pool that declares it. */
struct DeclaredInstance
{
    std::string pool;
    InstanceDeclaration declaration;
};

/** Returns the declared instances of all pools, by instance name. */
ByName<DeclaredInstance> declaredInstances(const Configuration &configuration);

/** Snapshot of all data that one fleet pass reads. */
struct FleetInputs
{
    std::int64_t revision = 0; ///< Store revision of the records and the configuration.
    std::int64_t nowMs = 0; ///< Unix time.
    Configuration configuration;
    ByName<InstanceRecord> records;
    std::vector<std::string> members; ///< Names of the control processes whose lease is alive.
    std::vector<std::string> entries; ///< Names of the registered entry processes.
    Acknowledgements acknowledgements;
    ByName<PlatformState> platform; ///< Empty if the list could not be read.
};

} // namespace dragonflysill
