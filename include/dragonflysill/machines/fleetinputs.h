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

/** What the platform's instance list says about an instance. The list lags behind. */
enum class PlatformState {
    Live,
    Leaving, ///< Drained by the platform, or rebooting.
    Terminated,
};

/** The acknowledgements of entry processes: which instance each has drained, at which epoch. */
class Acknowledgements
{
public:
    /** Records that an entry has nothing in flight on an instance of the epoch. */
    void add(std::string_view entry, std::string_view instance, std::int64_t epoch);

    /** Returns true if the entry acknowledged exactly this epoch. */
    [[nodiscard]] bool has(std::string_view entry, std::string_view instance,
                           std::int64_t epoch) const;

    bool operator==(const Acknowledgements &) const = default;

private:
    std::map<std::string, std::map<std::string, std::int64_t, std::less<>>, std::less<>> m_epochs;
};

/** An instance as the configuration declares it, with the pool that it belongs to. */
struct DeclaredInstance
{
    std::string pool;
    InstanceDeclaration declaration;
};

/** Returns the declared instances of all pools by name. */
ByName<DeclaredInstance> declaredInstances(const Configuration &configuration);

/** Everything that one pass of the fleet decisions reads. */
struct FleetInputs
{
    std::int64_t revision = 0; ///< The store's revision that records and configuration reflect.
    std::int64_t nowMs = 0; ///< Unix time.
    Configuration configuration;
    ByName<InstanceRecord> records;
    std::vector<std::string> members; ///< Control processes whose lease is alive, by name.
    std::vector<std::string> entries; ///< Registered entry processes, by name.
    Acknowledgements acknowledgements;
    ByName<PlatformState> platform; ///< Empty if the list could not be read.
};

} // namespace dragonflysill
