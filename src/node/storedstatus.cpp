#include "dragonflysill/node/storedstatus.h"

#include "dragonflysill/jobs/jobcodec.h"
#include "dragonflysill/node/cancelmark.h"
#include "dragonflysill/node/nodekeys.h"
#include "dragonflysill/node/statereplica.h"

#include <memory>
#include <optional>
#include <utility>

namespace dragonflysill {

namespace internal {

/** The keys of a job, as far as they have been read. */
struct JobKeys
{
    std::optional<Result<KeyValue>> record;
    std::optional<Result<KeyValue>> progress;
    std::optional<Result<KeyValue>> cancelled;
};

bool missing(const Result<KeyValue> &item)
{
    return !item && item.error().is(ErrorKind::NotFound);
}

Result<StoredStatus> combine(const JobKeys &keys)
{
    for (const auto *it : {&keys.record, &keys.progress, &keys.cancelled}) {
        if (!**it && !missing(**it))
            return (*it)->error();
    }
    if (missing(*keys.record) || (*keys.record)->value == rejectedRecord)
        return Error(ErrorKind::NotFound, "no such job was accepted");
    auto status = JobStatus::Queued;
    if (*keys.progress) {
        const auto decoded = decodeState((*keys.progress)->value);
        if (!decoded)
            return Error(ErrorKind::Corrupt, "the progress of the job is unreadable");
        status = *decoded;
    }
    auto team = decodeOrigin((*keys.record)->value).team;
    const bool cancelled = *keys.cancelled && cancelApplies((*keys.cancelled)->value, team);
    return StoredStatus{cancelled && !isFinal(status) ? JobStatus::Cancelled : status,
                        std::move(team)};
}

} // namespace internal

void readStoredStatus(AsyncStore &store, const std::string &job,
                      std::function<void(Result<StoredStatus>)> callback)
{
    const auto keys = std::make_shared<internal::JobKeys>();
    const auto read = [&](std::string_view prefix,
                          std::optional<Result<KeyValue>> internal::JobKeys::*target) {
        store.get(nodekeys::key(prefix, job), [keys, target, callback](Result<KeyValue> item) {
            (*keys).*target = std::move(item);
            if (keys->record && keys->progress && keys->cancelled)
                callback(internal::combine(*keys));
        });
    };
    read(nodekeys::jobs, &internal::JobKeys::record);
    read(nodekeys::progress, &internal::JobKeys::progress);
    read(nodekeys::cancelled, &internal::JobKeys::cancelled);
}

} // namespace dragonflysill
