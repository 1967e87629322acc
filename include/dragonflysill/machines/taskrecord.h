#pragma once

#include "dragonflysill/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflysill {

/** The stored state of a task, under the key `tasks/JOB/INDEX`. */
struct TaskRecord
{
    std::string job;
    int index = 0;
    std::int64_t ticket = 0; ///< Number of the ticket that last changed the job.
    std::int64_t attempt = 0; ///< Incremented with every start.
    std::string worker; ///< Worker of the last start.
    bool finished = false;

    bool operator==(const TaskRecord &) const = default;

    /** Returns the platform's id of this attempt; a repeated start with the same id has no effect.
     */
    [[nodiscard]] std::string platformId() const;

    /** Returns the key of the record in the store. */
    [[nodiscard]] std::string key() const;
};

/** Encodes a task record as JSON for the store. */
std::string encodeTask(const TaskRecord &record);

/** Decodes a stored task record; returns Corrupt if the text is not valid. */
Result<TaskRecord> decodeTask(std::string_view text);

} // namespace dragonflysill
