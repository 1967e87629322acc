#include "dragonflysill/node/workerrecord.h"

#include "dragonflysill/jobs/json.h"

#include <utility>

namespace dragonflysill {

std::string encodeWorkerRecord(std::span<const WorkerDescription> workers)
{
    Json rows = Json::array();
    for (const auto &it : workers)
        rows.push_back({it.id, it.address, it.instance, it.startedMs, it.restarted});
    return rows.dump();
}

Result<std::vector<WorkerDescription>> decodeWorkerRecord(std::string_view pool,
                                                          std::string_view bytes)
{
    return decodeJson<std::vector<WorkerDescription>>(bytes, [pool](const Json &json) {
        std::vector<WorkerDescription> workers;
        // Nodes of the previous revision leave out whether a worker had restarted.
        constexpr std::size_t restartedField = 4;
        for (const auto &row : json) {
            WorkerDescription worker;
            worker.id = row.at(0);
            worker.address = row.at(1);
            worker.instance = row.at(2);
            worker.startedMs = row.at(3);
            worker.restarted = row.size() > restartedField && row.at(restartedField).get<bool>();
            worker.pool = pool;
            workers.push_back(std::move(worker));
        }
        return workers;
    });
}

} // namespace dragonflysill
