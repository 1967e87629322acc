#include "dragonflysill/node/statereplica.h"

#include "dragonflysill/jobs/jobcodec.h"
#include "dragonflysill/node/cancelmark.h"
#include "dragonflysill/node/nodekeys.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonflysill {

void StateReplica::reset(std::string_view prefix, std::span<const KeyValue> items,
                         std::int64_t asOf)
{
    removeUnlisted(prefix, items, asOf);
    for (const auto &it : items)
        set(it.key, it.value, it.modRevision);
    advance(prefix, asOf);
    notifyListener();
}

void StateReplica::removeUnlisted(std::string_view prefix, std::span<const KeyValue> items,
                                  std::int64_t asOf)
{
    std::unordered_set<std::string_view> listed;
    for (const auto &it : items)
        listed.insert(it.key);
    if (nodekeys::owner.starts_with(prefix) && !listed.contains(nodekeys::owner))
        remove(std::string(nodekeys::owner), asOf);
    for (auto it = m_otherItems.lower_bound(prefix);
         it != m_otherItems.end() && it->first.starts_with(prefix);) {
        const bool keep = listed.contains(it->first) || it->second.modRevision > asOf;
        it = keep ? std::next(it) : m_otherItems.erase(it);
    }
    std::erase_if(m_jobs, [&](const auto &it) {
        return isUnlisted(it.first, it.second, prefix, listed, asOf);
    });
}

bool StateReplica::isUnlisted(const std::string &id, const ReplicatedJob &job,
                              std::string_view prefix,
                              const std::unordered_set<std::string_view> &listed, std::int64_t asOf)
{
    const auto kind = job.onlyCancelled() ? nodekeys::cancelled : nodekeys::jobs;
    const auto newest = job.onlyCancelled() ? job.cancelledRevision
                                            : std::max(job.acceptedRevision, job.progressRevision);
    return kind.starts_with(prefix) && newest <= asOf && !listed.contains(nodekeys::key(kind, id));
}

void StateReplica::apply(std::string_view prefix, std::span<const KeyUpdate> updates,
                         std::int64_t asOf)
{
    for (const auto &it : updates) {
        if (it.deleted)
            remove(it.key, it.revision);
        else
            set(it.key, it.value, it.revision);
    }
    advance(prefix, asOf);
    notifyListener();
}

void StateReplica::advance(std::string_view prefix, std::int64_t asOf)
{
    if (prefix == nodekeys::root)
        m_asOf = std::max(m_asOf, asOf);
    if (nodekeys::owner.starts_with(prefix))
        m_ownerAsOf = std::max(m_ownerAsOf, asOf);
    if (nodekeys::nodes.starts_with(prefix))
        m_nodesAsOf = std::max(m_nodesAsOf, asOf);
}

void StateReplica::applyOwn(const std::string &key, const std::string &value, std::int64_t revision)
{
    set(key, value, revision);
    notifyListener();
}

void StateReplica::followJobs(bool follow)
{
    if (std::exchange(m_followsJobs, follow) == follow || follow)
        return;
    m_jobs.clear();
    m_changed.clear();
    m_asOf = 0;
}

void StateReplica::notifyListener()
{
    for (const auto &id : std::exchange(m_changed, {})) {
        const auto it = m_jobs.find(id);
        if (m_listener && it != m_jobs.end())
            m_listener(id, it->second);
    }
}

void StateReplica::set(const std::string &key, const std::string &value, std::int64_t revision)
{
    if (key == nodekeys::owner) {
        if (revision > m_ownerChanged) {
            m_owner = {value, revision};
            m_ownerChanged = revision;
        }
    } else if (key.starts_with(nodekeys::jobs) || key.starts_with(nodekeys::progress)
               || key.starts_with(nodekeys::cancelled)) {
        if (m_followsJobs)
            setJobKey(key, value, revision);
    } else {
        auto &item = m_otherItems[key];
        if (revision > item.modRevision)
            item = {key, value, revision, revision, 0};
    }
}

void StateReplica::setJobKey(const std::string &key, const std::string &value,
                             std::int64_t revision)
{
    std::string id;
    if (const auto name = nodekeys::nameIn(nodekeys::jobs, key); !name.empty()) {
        id = name;
        auto &job = m_jobs[id];
        if (job.acceptedRevision != 0)
            return;
        job.acceptedRevision = revision;
        job.record = value;
        auto origin = decodeOrigin(value);
        job.queue = std::move(origin.queue);
        job.team = std::move(origin.team);
        job.cancelled = job.cancelled && cancelApplies(job.cancelMark, job.team);
    } else if (const auto name = nodekeys::nameIn(nodekeys::progress, key); !name.empty()) {
        id = name;
        auto &job = m_jobs[id];
        if (revision <= job.progressRevision)
            return;
        const auto status = decodeState(value);
        if (!status)
            return;
        job.progressRevision = revision;
        job.progress = value;
        job.status = *status;
    } else {
        id = nodekeys::nameIn(nodekeys::cancelled, key);
        auto &job = m_jobs[id];
        if (revision <= job.cancelledRevision)
            return;
        job.cancelledRevision = revision;
        job.cancelMark = value;
        const bool applies = job.acceptedRevision == 0 || cancelApplies(value, job.team);
        if (!applies || std::exchange(job.cancelled, true))
            return;
    }
    m_changed.insert(std::move(id));
}

void StateReplica::remove(const std::string &key, std::int64_t revision)
{
    if (key == nodekeys::owner) {
        if (revision > m_ownerChanged) {
            m_owner = {};
            m_ownerChanged = revision;
        }
        return;
    }
    if (const auto id = nodekeys::nameIn(nodekeys::jobs, key); !id.empty())
        m_jobs.erase(std::string(id));
    if (const auto id = nodekeys::nameIn(nodekeys::cancelled, key); !id.empty()) {
        const auto it = m_jobs.find(std::string(id));
        if (it != m_jobs.end() && it->second.onlyCancelled()
            && it->second.cancelledRevision < revision)
            m_jobs.erase(it);
    }
    const auto it = m_otherItems.find(key);
    if (it != m_otherItems.end() && it->second.modRevision < revision)
        m_otherItems.erase(it);
}

const ReplicatedJob *StateReplica::job(std::string_view id) const
{
    const auto it = m_jobs.find(std::string(id));
    return it == m_jobs.end() || it->second.acceptedRevision == 0
                           || it->second.record == rejectedRecord
                   ? nullptr
                   : &it->second;
}

std::optional<JobStatus> StateReplica::status(std::string_view id) const
{
    const auto *it = job(id);
    if (it == nullptr)
        return std::nullopt;
    if (it->cancelled && !isFinal(it->status))
        return JobStatus::Cancelled;
    return it->status;
}

std::optional<int> StateReplica::pending(std::string_view queue) const
{
    if (!m_followsJobs || m_asOf == 0)
        return std::nullopt;
    return static_cast<int>(std::ranges::count_if(m_jobs, [queue](const auto &it) {
        const auto &job = it.second;
        return job.queue == queue && job.status == JobStatus::Queued && !job.cancelled;
    }));
}

std::vector<KeyValue> StateReplica::otherItems(std::string_view prefix) const
{
    std::vector<KeyValue> found;
    for (auto it = m_otherItems.lower_bound(prefix);
         it != m_otherItems.end() && it->first.starts_with(prefix); ++it)
        found.push_back(it->second);
    return found;
}

const KeyValue *StateReplica::otherItem(std::string_view key) const
{
    const auto it = m_otherItems.find(key);
    return it == m_otherItems.end() ? nullptr : &it->second;
}

} // namespace dragonflysill
