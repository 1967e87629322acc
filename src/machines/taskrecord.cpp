#include "dragonflysill/machines/taskrecord.h"

#include "dragonflysill/base/storekeys.h"

#include <nlohmann/json.hpp>

namespace dragonflysill {

std::string TaskRecord::platformId() const
{
    std::string id = job;
    for (const auto it : {std::int64_t{index}, ticket, attempt})
        id += "." + std::to_string(it);
    return id;
}

std::string TaskRecord::key() const
{
    return storekeys::join(storekeys::tasks, job) + "/" + std::to_string(index);
}

std::string encodeTask(const TaskRecord &record)
{
    return nlohmann::json{{"job", record.job},       {"index", record.index},
                          {"ticket", record.ticket}, {"attempt", record.attempt},
                          {"worker", record.worker}, {"finished", record.finished}}
            .dump();
}

Result<TaskRecord> decodeTask(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded())
        return Error(ErrorKind::Corrupt, "task is not JSON");
    try {
        TaskRecord record;
        json.at("job").get_to(record.job);
        json.at("index").get_to(record.index);
        json.at("ticket").get_to(record.ticket);
        json.at("attempt").get_to(record.attempt);
        json.at("worker").get_to(record.worker);
        json.at("finished").get_to(record.finished);
        return record;
    } catch (const nlohmann::json::exception &e) {
        return Error(ErrorKind::Corrupt, e.what());
    }
}

} // namespace dragonflysill
