#include "dragonflysill/zones/view.h"

#include "dragonflysill/base/storekeys.h"
#include "dragonflysill/contracts/codec.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace dragonflysill {

namespace internal {

/** Decodes one stored value into its place of a view; returns false if it is corrupt. */
class ViewDecoder
{
public:
    explicit ViewDecoder(View &view)
        : m_view(view)
    {
    }

    bool decode(std::string_view key, std::string_view value)
    {
        namespace keys = storekeys;
        Configuration &configuration = m_view.configuration;
        if (key == keys::head)
            return decodeHead(value);
        if (key.starts_with(keys::pools))
            return store(configuration.pools, key, keys::pools, decodeStored<Pool>(value));
        if (key.starts_with(keys::services))
            return store(configuration.services, key, keys::services, decodeStored<Service>(value));
        if (key.starts_with(keys::jobs))
            return store(configuration.jobs, key, keys::jobs, decodeStored<Job>(value));
        if (key.starts_with(keys::quotas))
            return store(configuration.quotas, key, keys::quotas, decodeStored<Quota>(value));
        if (key.starts_with(keys::maintenance))
            return store(configuration.maintenance, key, keys::maintenance,
                         decodeStored<Maintenance>(value));
        if (key.starts_with(keys::instances))
            return store(m_view.instances, key, keys::instances, decodeRecord(value));
        if (key.starts_with(keys::members))
            return store(m_view.members, key, keys::members, decodeMember(value));
        if (key.starts_with(keys::entries))
            return store(m_view.entries, key, keys::entries, decodeMember(value));
        return true;
    }

private:
    template <typename T>
    static bool store(ByName<T> &target, std::string_view key, std::string_view prefix,
                      Result<T> decoded)
    {
        if (!decoded)
            return false;
        target.insert_or_assign(std::string(key.substr(prefix.size())), std::move(*decoded));
        return true;
    }

    bool decodeHead(std::string_view value)
    {
        const auto json = nlohmann::json::parse(value, nullptr, false);
        if (!json.is_object() || !json.contains("number") || !json["number"].is_number_integer())
            return false;
        m_view.configuration.ticket = json["number"].get<std::int64_t>();
        if (json.contains("id") && json["id"].is_string())
            m_view.configuration.ticketId = json["id"].get<std::string>();
        return true;
    }

    View &m_view;
};

/** Returns the changes that lead from one raw state to another. */
std::vector<KeyUpdate> difference(const ByName<KeyUpdate> &from, const ByName<KeyUpdate> &to,
                                  std::int64_t revision)
{
    std::vector<KeyUpdate> changes;
    for (const auto &[key, update] : to) {
        const auto previous = from.find(key);
        if (previous == from.end() || previous->second.revision != update.revision)
            changes.push_back(update);
    }
    for (const auto &it : from) {
        if (to.count(it.first) == 0)
            changes.push_back({it.first, {}, revision, true});
    }
    return changes;
}

} // namespace internal

bool isViewKey(std::string_view key)
{
    namespace keys = storekeys;
    return key == keys::head || key.starts_with("/dragonflysill/objects/")
           || key.starts_with(keys::instances) || key.starts_with(keys::members)
           || key.starts_with(keys::entries);
}

ViewBuilder::ViewBuilder()
    : m_view(std::make_shared<View>())
{
}

Result<ViewPointer> ViewBuilder::apply(std::span<const KeyUpdate> updates, std::int64_t revision)
{
    ByName<KeyUpdate> keys = m_keys;
    for (const auto &it : updates) {
        if (!isViewKey(it.key))
            continue;
        const auto found = keys.find(it.key);
        if (found != keys.end() && found->second.revision > it.revision)
            continue;
        if (it.deleted)
            keys.erase(it.key);
        else
            keys.insert_or_assign(it.key, it);
    }
    return install(std::move(keys), revision);
}

Result<ViewPointer> ViewBuilder::replace(std::span<const KeyUpdate> updates, std::int64_t revision)
{
    ByName<KeyUpdate> keys;
    for (const auto &it : updates) {
        if (isViewKey(it.key) && !it.deleted)
            keys.insert_or_assign(it.key, it);
    }
    return install(std::move(keys), revision);
}

std::vector<KeyUpdate> ViewBuilder::fullState() const
{
    std::vector<KeyUpdate> updates;
    updates.reserve(m_keys.size());
    for (const auto &it : m_keys)
        updates.push_back(it.second);
    return updates;
}

Result<ViewPointer> ViewBuilder::install(ByName<KeyUpdate> keys, std::int64_t revision)
{
    if (revision < m_view->revision)
        return Error(ErrorKind::StoreRegressed, "revision " + std::to_string(revision)
                                                        + " is below "
                                                        + std::to_string(m_view->revision));
    auto view = std::make_shared<View>();
    internal::ViewDecoder decoder(*view);
    std::int64_t corrupt = 0;
    for (auto &it : keys) {
        if (decoder.decode(it.first, it.second.value))
            continue;
        ++corrupt;
        const auto previous = m_keys.find(it.first);
        if (previous != m_keys.end() && decoder.decode(it.first, previous->second.value))
            it.second = previous->second;
    }
    if (view->configuration.ticket < m_view->configuration.ticket)
        return Error(ErrorKind::StoreRegressed,
                     "ticket " + std::to_string(view->configuration.ticket) + " is below "
                             + std::to_string(m_view->configuration.ticket));
    view->revision = revision;
    m_corruptValues += corrupt;
    m_lastChanges = internal::difference(m_keys, keys, revision);
    m_keys = std::move(keys);
    m_view = std::move(view);
    return m_view;
}

} // namespace dragonflysill
