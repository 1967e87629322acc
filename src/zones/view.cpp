#include "dragonflysill/zones/view.h"

#include "dragonflysill/base/storekeys.h"
#include "dragonflysill/contracts/codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <optional>
#include <utility>

namespace dragonflysill {

namespace internal {

/** Returns the ticket number of the head key, or nothing if the value is corrupt. */
std::optional<std::int64_t> headNumber(const nlohmann::json &json)
{
    if (!json.is_object() || !json.contains("number") || !json["number"].is_number_integer())
        return std::nullopt;
    return json["number"].get<std::int64_t>();
}

/** Puts stored values into their place of a view and takes them out again. */
class ViewEditor
{
public:
    explicit ViewEditor(View &view)
        : m_view(view)
    {
    }

    /** Applies a change; returns false, with the view unchanged, if the value is corrupt. */
    bool apply(const KeyUpdate &update)
    {
        namespace keys = storekeys;
        Configuration &configuration = m_view.configuration;
        const std::string_view key = update.key;
        if (key == keys::latestTicket)
            return update.deleted || decodeHead(update.value);
        if (key.starts_with(keys::pools))
            return change(configuration.pools, keys::pools, update, decodeStored<Pool>);
        if (key.starts_with(keys::services))
            return change(configuration.services, keys::services, update, decodeStored<Service>);
        if (key.starts_with(keys::jobs))
            return change(configuration.jobs, keys::jobs, update, decodeStored<Job>);
        if (key.starts_with(keys::quotas))
            return change(configuration.quotas, keys::quotas, update, decodeStored<Quota>);
        if (key.starts_with(keys::maintenance))
            return change(configuration.maintenance, keys::maintenance, update,
                          decodeStored<Maintenance>);
        if (key.starts_with(keys::instances))
            return change(m_view.instances, keys::instances, update, decodeRecord);
        if (key.starts_with(keys::members))
            return change(m_view.members, keys::members, update, decodeMember);
        if (key.starts_with(keys::entries))
            return change(m_view.entries, keys::entries, update, decodeMember);
        return true;
    }

private:
    template <typename T, typename Decode>
    static bool change(ByName<T> &target, std::string_view prefix, const KeyUpdate &update,
                       Decode decode)
    {
        const std::string_view name = std::string_view(update.key).substr(prefix.size());
        if (update.deleted) {
            const auto it = target.find(name);
            if (it != target.end())
                target.erase(it);
            return true;
        }
        Result<T> decoded = decode(update.value);
        if (!decoded)
            return false;
        target.insert_or_assign(std::string(name), std::move(*decoded));
        return true;
    }

    bool decodeHead(std::string_view value)
    {
        const auto json = nlohmann::json::parse(value, nullptr, false);
        const auto number = headNumber(json);
        if (!number)
            return false;
        m_view.configuration.ticket = *number;
        if (json.contains("id") && json["id"].is_string())
            m_view.configuration.ticketId = json["id"].get<std::string>();
        return true;
    }

    View &m_view;
};

/** Returns the ticket number that changes lead to; 0 if they delete the head. */
std::int64_t ticketAfter(std::span<const KeyUpdate> changes, std::int64_t current)
{
    for (const auto &it : changes) {
        if (it.key != storekeys::latestTicket)
            continue;
        if (it.deleted)
            return 0;
        return headNumber(nlohmann::json::parse(it.value, nullptr, false)).value_or(current);
    }
    return current;
}

} // namespace internal

bool isViewKey(std::string_view key)
{
    namespace keys = storekeys;
    return key == keys::latestTicket || key.starts_with("/dragonflysill/objects/")
           || key.starts_with(keys::instances) || key.starts_with(keys::members)
           || key.starts_with(keys::entries);
}

ViewBuilder::ViewBuilder()
    : m_view(std::make_shared<View>())
{
}

Result<ViewPointer> ViewBuilder::apply(std::span<const KeyUpdate> updates, std::int64_t revision)
{
    ByName<const KeyUpdate *> newest;
    for (const auto &it : updates) {
        if (!isViewKey(it.key))
            continue;
        const auto known = m_keys.find(it.key);
        if (known != m_keys.end() && known->second.revision > it.revision)
            continue;
        const auto [position, isNew] = newest.try_emplace(it.key, &it);
        if (!isNew && position->second->revision <= it.revision)
            position->second = &it;
    }
    std::vector<KeyUpdate> changes;
    changes.reserve(newest.size());
    for (const auto &it : newest)
        changes.push_back(*it.second);
    return install(std::move(changes), revision);
}

Result<ViewPointer> ViewBuilder::replace(std::span<const KeyUpdate> updates, std::int64_t revision)
{
    ByName<const KeyUpdate *> state;
    for (const auto &it : updates) {
        if (isViewKey(it.key) && !it.deleted)
            state.insert_or_assign(it.key, &it);
    }
    std::vector<KeyUpdate> changes;
    for (const auto &[key, update] : state) {
        const auto known = m_keys.find(key);
        if (known == m_keys.end() || known->second != *update)
            changes.push_back(*update);
    }
    for (const auto &it : m_keys) {
        if (state.count(it.first) == 0)
            changes.push_back({it.first, {}, revision, true});
    }
    return install(std::move(changes), revision);
}

std::vector<KeyUpdate> ViewBuilder::fullState() const
{
    std::vector<KeyUpdate> updates;
    updates.reserve(m_keys.size());
    for (const auto &it : m_keys)
        updates.push_back(it.second);
    return updates;
}

Result<ViewPointer> ViewBuilder::install(std::vector<KeyUpdate> changes, std::int64_t revision)
{
    if (revision < m_view->revision)
        return Error(ErrorKind::StoreRegressed, "revision " + std::to_string(revision)
                                                        + " is below "
                                                        + std::to_string(m_view->revision));
    const std::int64_t ticket = internal::ticketAfter(changes, m_view->configuration.ticket);
    if (ticket < m_view->configuration.ticket)
        return Error(ErrorKind::StoreRegressed,
                     "ticket " + std::to_string(ticket) + " is below "
                             + std::to_string(m_view->configuration.ticket));
    std::shared_ptr<View> next = takeSpare();
    internal::ViewEditor editor(*next);
    const auto isCorrupt = [&](const KeyUpdate &it) { return !editor.apply(it); };
    const auto end = std::remove_if(changes.begin(), changes.end(), isCorrupt);
    m_corruptValues += changes.end() - end;
    changes.erase(end, changes.end());
    for (const auto &it : changes) {
        if (it.deleted)
            m_keys.erase(it.key);
        else
            m_keys.insert_or_assign(it.key, it);
    }
    next->revision = revision;
    m_spare = std::exchange(m_view, std::move(next));
    m_lastChanges = std::move(changes);
    return ViewPointer(m_view);
}

std::shared_ptr<View> ViewBuilder::takeSpare()
{
    std::shared_ptr<View> spare = std::exchange(m_spare, nullptr);
    if (!spare || spare.use_count() != 1)
        return std::make_shared<View>(*m_view);
    // Orders the edits after the last reads of the thread that released the view.
    std::atomic_thread_fence(std::memory_order_acquire);
    internal::ViewEditor editor(*spare);
    for (const auto &it : m_lastChanges)
        editor.apply(it);
    return spare;
}

} // namespace dragonflysill
