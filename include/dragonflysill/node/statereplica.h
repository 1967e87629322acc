#pragma once

#include "dragonflysill/base/keyupdate.h"
#include "dragonflysill/jobs/job.h"
#include "dragonflysill/store/asyncstore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace dragonflysill {

/** Stored state of one job. */
struct ReplicatedJob
{
    std::string record; ///< Encoded job; empty if only other keys of the job were received.
    std::string queue; ///< Name of its queue; empty until the record is received.
    std::string team; ///< Team that submitted it; empty for none.
    std::string progress; ///< Encoded JobProgress; empty if none was saved yet.
    std::int64_t progressRevision = 0;
    std::int64_t acceptedRevision = 0; ///< Revision of the record; 0 if it was not received.
    JobStatus status = JobStatus::Queued;
    bool cancelled = false; ///< A cancel request applies to it.
    std::string cancelMark; ///< Newest cancel request; empty if there is none.
    std::int64_t cancelledRevision = 0; ///< Revision of the cancel request; 0 if there is none.

    /** Returns true if only a cancel request was received: its submission may still arrive. */
    [[nodiscard]] bool onlyCancelled() const { return cancelled && acceptedRevision == 0; }

    /** Returns true if nothing will run for it, so that its keys may be removed after a while. */
    [[nodiscard]] bool hasEnded() const { return isFinal(status) || onlyCancelled(); }
};

/** Owner of the schedule according to the store. */
struct OwnerRecord
{
    std::string node;
    std::int64_t revision = 0; ///< 0 if no node owns the schedule.
};

/**
 * A node's local copy of the keys in nodekeys. Every node follows the owner and the registered
 * nodes; the owner and the nodes that may replace it at once follow all keys. Changes are applied
 * in the order of their revisions; a change that is older than the known revision of its key is
 * ignored. Not thread-safe.
 */
class StateReplica
{
public:
    /** Receives a job that was added or whose record, progress or cancel request changed. */
    using Listener = std::function<void(const std::string &id, const ReplicatedJob &job)>;

    /**
     * Replaces the keys with a prefix by a full list as of revision @p asOf. Changes that are newer
     * than the list are kept.
     * @param prefix nodekeys::root, or the prefix of one kind of keys
     */
    void reset(std::string_view prefix, std::span<const KeyValue> items, std::int64_t asOf);

    /** Applies changes of keys with a prefix that a watch reported, up to revision @p asOf. */
    void apply(std::string_view prefix, std::span<const KeyUpdate> updates, std::int64_t asOf);

    /**
     * Applies a change that this node or another has written, before the watch reports it. Changes
     * of jobs are ignored unless followsJobs().
     */
    void applyOwn(const std::string &key, const std::string &value, std::int64_t revision);

    /** Sets whether all keys are followed; without it, the known jobs are dropped. */
    void followJobs(bool follow);
    [[nodiscard]] bool followsJobs() const { return m_followsJobs; }

    /** Sets the listener; it is called after all changes of a call have been applied. */
    void setListener(Listener listener) { m_listener = std::move(listener); }

    /** Returns true once the owner and the registered nodes are known. */
    [[nodiscard]] bool loaded() const { return m_ownerAsOf != 0 && m_nodesAsOf != 0; }
    /** Returns the revision up to which all keys are known; 0 before the first list of them. */
    [[nodiscard]] std::int64_t asOf() const { return m_asOf; }
    /** Returns the revision up to which owner() is known. */
    [[nodiscard]] std::int64_t ownerAsOf() const { return m_ownerAsOf; }
    [[nodiscard]] const OwnerRecord &owner() const { return m_owner; }
    [[nodiscard]] const ReplicatedJob *job(std::string_view id) const;
    [[nodiscard]] const std::unordered_map<std::string, ReplicatedJob> &jobs() const
    {
        return m_jobs;
    }

    /**
     * Returns the status reported to callers: Cancelled as soon as a cancel request is stored and
     * the job has not ended; no value for unknown and rejected ids.
     */
    [[nodiscard]] std::optional<JobStatus> status(std::string_view id) const;

    /**
     * Returns the number of jobs of a queue that have not started a task; no value before all keys
     * have been read.
     */
    [[nodiscard]] std::optional<int> pending(std::string_view queue) const;

    /** Returns the items with a prefix that belong to no job and are not the owner. */
    [[nodiscard]] std::vector<KeyValue> otherItems(std::string_view prefix) const;

    /** Returns one of these items; nullptr if the key does not exist. */
    [[nodiscard]] const KeyValue *otherItem(std::string_view key) const;

private:
    void set(const std::string &key, const std::string &value, std::int64_t revision);
    void remove(const std::string &key, std::int64_t revision);
    /** Removes what a full list as of a revision does not contain. */
    void removeUnlisted(std::string_view prefix, std::span<const KeyValue> items,
                        std::int64_t asOf);
    void advance(std::string_view prefix, std::int64_t asOf);
    /** Returns true if a full list of a prefix shows that a job's keys have been removed. */
    [[nodiscard]] static bool isUnlisted(const std::string &id, const ReplicatedJob &job,
                                         std::string_view prefix,
                                         const std::unordered_set<std::string_view> &listed,
                                         std::int64_t asOf);
    void setJobKey(const std::string &key, const std::string &value, std::int64_t revision);
    void notifyListener();

    bool m_followsJobs = false;
    std::int64_t m_asOf = 0; ///< Of all keys.
    std::int64_t m_ownerAsOf = 0;
    std::int64_t m_nodesAsOf = 0;
    OwnerRecord m_owner;
    std::int64_t m_ownerChanged = 0;
    std::unordered_map<std::string, ReplicatedJob> m_jobs;
    std::map<std::string, KeyValue, std::less<>> m_otherItems;
    Listener m_listener;
    std::set<std::string> m_changed; ///< Jobs about which the listener must be notified.
};

/** Record of an id whose submission was abandoned, so that a delayed write can't take effect. */
constexpr std::string_view rejectedRecord = "rejected";

} // namespace dragonflysill
