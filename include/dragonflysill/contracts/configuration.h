#pragma once

#include "dragonflysill/contracts/job.h"
#include "dragonflysill/contracts/maintenance.h"
#include "dragonflysill/contracts/pool.h"
#include "dragonflysill/contracts/quota.h"
#include "dragonflysill/contracts/service.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace dragonflysill {

/** Maps names to objects; lookups accept a string view. */
template <typename T>
using ByName = std::map<std::string, T, std::less<>>;

/** The intended state: all objects of all accepted tickets. */
struct Configuration
{
    std::int64_t ticket = 0; ///< Number of the last accepted ticket; 0 before the first.
    std::string ticketId; ///< Id of that ticket.
    ByName<Pool> pools;
    ByName<Service> services;
    ByName<Job> jobs;
    ByName<Quota> quotas;
    ByName<Maintenance> maintenance;

    bool operator==(const Configuration &) const = default;
};

} // namespace dragonflysill
