#pragma once

#include "dragonflysill/base/storekeys.h"
#include "dragonflysill/contracts/acceptance.h"
#include "dragonflysill/standin/memorystore.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace dragonflysill::support {

/** Passes calls to a MemoryStore; a test can act just before a write. */
class HookedStore : public Store
{
public:
    Result<RangeResult> range(const RangeOperation &operation) override
    {
        return store.range(operation);
    }
    Result<TransactionResult> commit(const Transaction &transaction) override
    {
        if (!transaction.compares.empty() && beforeWrite) {
            const auto hook = std::exchange(beforeWrite, nullptr);
            hook();
        }
        return store.commit(transaction);
    }
    Result<Lease> grantLease(std::int64_t ttl) override { return store.grantLease(ttl); }
    Result<Lease> renewLease(LeaseId id) override { return store.renewLease(id); }
    Result<Done> revokeLease(LeaseId id) override { return store.revokeLease(id); }
    Result<Done> watch(std::string_view prefix, std::int64_t start,
                       const WatchHandler &handler) override
    {
        return store.watch(prefix, start, handler);
    }

    MemoryStore store;
    std::function<void()> beforeWrite; ///< Called once, before the next write.
};

/** A desk over a store in memory, on a fake clock that moves 10 ms with each pause. */
struct DeskFixture
{
    DeskFixture()
    {
        Transaction registration;
        registration.success = {PutOperation{memberKey, "{}", 0}};
        const auto result = store.store.commit(registration);
        fence.set(memberKey, result->revision);
    }

    TicketProcessorSettings settings(const std::string &process)
    {
        return {process, [this] { return nowMs; },
                [this](int) {
                    nowMs += 10;
                    if (onPause)
                        onPause();
                }};
    }

    void put(const std::string &key, const std::string &value)
    {
        Transaction transaction;
        transaction.success = {PutOperation{key, value, 0}};
        store.store.commit(transaction);
    }

    const std::string memberKey = storekeys::join(storekeys::members, "c1");
    std::int64_t nowMs = 1'000'000;
    std::function<void()> onPause; ///< Called before each repeated store call.
    HookedStore store;
    Fence fence;
    TicketProcessor desk{store, fence, settings("c1")};
};

/** Returns a pool with instances NAME-1 to NAME-COUNT, two to a rack. */
inline nlohmann::json poolJson(const std::string &name, int count, int network)
{
    auto instances = nlohmann::json::array();
    const std::string prefix = "10.0." + std::to_string(network) + ".";
    for (int n = 1; n <= count; ++n) {
        const std::string number = std::to_string(n);
        std::string instance = name;
        instance.append("-").append(number);
        instances.push_back({{"name", instance},
                             {"address", prefix + number + ":80"},
                             {"zone", "zone-" + std::to_string(n / 2 % 3)},
                             {"rack", "rack-" + std::to_string(n / 2)}});
    }
    return {{"name", name}, {"max_unavailable", 1}, {"instances", instances}};
}

inline nlohmann::json ticketJson(const std::string &id, std::int64_t base)
{
    return {{"id", id}, {"base", base}, {"author", "operator"}, {"reason", "test"}};
}

inline nlohmann::json poolTicket(const std::string &id, std::int64_t base, const std::string &pool,
                                 int count = 4, int network = 1)
{
    auto ticket = ticketJson(id, base);
    ticket["pools"] = {poolJson(pool, count, network)};
    return ticket;
}

} // namespace dragonflysill::support
