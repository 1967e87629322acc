#include "dragonflysill/node/workerrecord.h"

#include "dragonflysill/jobs/json.h"

#include <utility>

namespace dragonflysill {

std::string encodeWorkerRecord(std::span<const WorkerDescription> workers)
{
    Json rows = Json::array();
    for (const auto &it : workers)
        rows.push_back({it.id, it.address, it.instance, it.startedMs});
    return rows.dump();
}

Result<std::vector<WorkerDescription>> decodeWorkerRecord(std::string_view pool,
                                                          std::string_view bytes)
{
    return decodeJson<std::vector<WorkerDescription>>(bytes, [pool](const Json &json) {
        std::vector<WorkerDescription> workers;
        for (const auto &row : json) {
            WorkerDescription worker;
            worker.id = row.at(0);
            worker.address = row.at(1);
            worker.instance = row.at(2);
            worker.startedMs = row.at(3);
            worker.pool = pool;
            workers.push_back(std::move(worker));
        }
        return workers;
    });
}

} // namespace dragonflysill
