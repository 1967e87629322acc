#include "dragonflysill/node/workerrecord.h"

#include <nlohmann/json.hpp>

namespace dragonflysill {

using Json = nlohmann::json;

std::string encodeWorkerRecord(std::span<const WorkerDescription> workers)
{
    Json rows = Json::array();
    for (const auto &it : workers)
        rows.push_back({it.id, it.address, it.instance, it.born});
    return rows.dump();
}

Result<std::vector<WorkerDescription>> decodeWorkerRecord(std::string_view pool,
                                                          std::string_view bytes)
{
    try {
        std::vector<WorkerDescription> workers;
        for (const auto &row : Json::parse(bytes)) {
            WorkerDescription worker;
            worker.id = row.at(0);
            worker.address = row.at(1);
            worker.instance = row.at(2);
            worker.born = row.at(3);
            worker.pool = pool;
            workers.push_back(std::move(worker));
        }
        return workers;
    } catch (const Json::exception &e) {
        return Error(ErrorKind::Corrupt, e.what());
    }
}

} // namespace dragonflysill
