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
#include <vector>

namespace dragonflysill {

/** What a node knows of one job from the store. */
struct ReplicatedJob
{
    std::string record; ///< Stored form of the job; empty if only other keys of it were seen.
    std::string queue; ///< Name of its queue; empty until the record was seen.
    std::string progress; ///< Stored form of its progress; empty before the first.
    std::int64_t progressRevision = 0;
    std::int64_t acceptedRevision = 0; ///< 0 if the record was not seen.
    JobStatus status = JobStatus::Queued;
    bool cancelled = false;
};

/** The scheduling node as the store names it. */
struct OwnerRecord
{
    std::string node;
    std::int64_t revision = 0; ///< 0 if no node owns the schedule.
};

/**
 * A node's copy of the nodes' keys. It answers callers' questions and is what a node starts from
 * when it takes over scheduling. Changes are applied in the order of their revisions; one that is
 * older than what is known of its key is ignored. Not thread-safe.
 */
class StateReplica
{
public:
    /** Receives the id of a job that was added or whose record, progress or cancel changed. */
    using Listener = std::function<void(const std::string &id, const ReplicatedJob &job)>;

    /** Replaces everything by a full reading. */
    void reset(std::span<const KeyValue> items, std::int64_t asOf);

    /** Applies changes that a watch reported. */
    void apply(std::span<const KeyUpdate> updates, std::int64_t asOf);

    /** Applies one change that this node made itself, before the watch reports it. */
    void applyOwn(const std::string &key, const std::string &value, std::int64_t revision);

    /** Sets who is told about changes of jobs, once all changes of a call have been applied. */
    void setListener(Listener listener) { m_listener = std::move(listener); }

    [[nodiscard]] bool loaded() const { return m_loaded; }
    [[nodiscard]] std::int64_t asOf() const { return m_asOf; }
    [[nodiscard]] const OwnerRecord &owner() const { return m_owner; }
    [[nodiscard]] std::int64_t generation() const { return m_generation; }
    [[nodiscard]] std::int64_t generationRevision() const { return m_generationRevision; }
    [[nodiscard]] const ReplicatedJob *job(std::string_view id) const;
    [[nodiscard]] const std::unordered_map<std::string, ReplicatedJob> &jobs() const
    {
        return m_jobs;
    }

    /** Returns the status that callers are told: a cancel counts from its acknowledgement. */
    [[nodiscard]] std::optional<JobStatus> status(std::string_view id) const;

    /** Returns how many jobs of a queue have not started a task. */
    [[nodiscard]] int pending(std::string_view queue) const;

    /** Returns the other keys with a prefix, with values and revisions. */
    [[nodiscard]] std::vector<KeyValue> others(std::string_view prefix) const;

private:
    void set(const std::string &key, const std::string &value, std::int64_t revision);
    void remove(const std::string &key, std::int64_t revision);
    void setJobKey(const std::string &key, const std::string &value, std::int64_t revision);
    void notifyListener();

    bool m_loaded = false;
    std::int64_t m_asOf = 0;
    OwnerRecord m_owner;
    std::int64_t m_ownerChanged = 0;
    std::int64_t m_generation = 0;
    std::int64_t m_generationRevision = 0;
    std::unordered_map<std::string, ReplicatedJob> m_jobs;
    std::map<std::string, KeyValue, std::less<>> m_others;
    Listener m_listener;
    std::set<std::string> m_changed; ///< Jobs that the listener is to be told about.
};

/** Marks an id whose submission was given up, so that a late write of it can't take effect. */
constexpr std::string_view rejectedRecord = "rejected";

} // namespace dragonflysill
