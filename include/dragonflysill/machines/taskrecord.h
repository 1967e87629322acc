#pragma once

#include "dragonflysill/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflysill {

/** What the store holds of a task under `tasks/JOB/INDEX`. */
struct TaskRecord
{
    std::string job;
    int index = 0;
    std::int64_t ticket = 0; ///< Ticket of the job's last change.
    std::int64_t attempt = 0; ///< Grows with every start.
    std::string worker;
    bool finished = false;

    bool operator==(const TaskRecord &) const = default;

    /** Returns the id of this attempt at the platform; a repeated start with it changes nothing. */
    [[nodiscard]] std::string platformId() const;

    /** Returns the key of the record. */
    [[nodiscard]] std::string key() const;
};

/** Returns the JSON text that the store holds for a task. */
std::string encodeTask(const TaskRecord &record);

/** Decodes a stored task; Corrupt if the text is not a task. */
Result<TaskRecord> decodeTask(std::string_view text);

} // namespace dragonflysill
