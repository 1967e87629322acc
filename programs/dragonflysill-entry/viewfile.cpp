#include "viewfile.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <vector>

namespace dragonflysill {

Result<ViewPointer> readViewFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return Error(ErrorKind::NotFound, "cannot open view file " + path);
    const auto json = nlohmann::json::parse(file, nullptr, false);
    if (!json.is_array())
        return Error(ErrorKind::Corrupt, "view file " + path + " is not a JSON array");
    std::vector<KeyUpdate> updates;
    for (const auto &it : json) {
        if (!it.is_object() || !it.contains("key") || !it["key"].is_string()
            || !it.contains("value"))
            return Error(ErrorKind::Corrupt,
                         "view file " + path + " has an element without key or value");
        const auto &value = it["value"];
        updates.push_back({it["key"].get<std::string>(),
                           value.is_string() ? value.get<std::string>() : value.dump(), 1, false});
    }
    ViewBuilder builder;
    auto view = builder.replace(updates, 1);
    if (view.ok() && builder.corruptValues() > 0)
        return Error(ErrorKind::Corrupt,
                     "view file " + path + " has a value that cannot be decoded");
    return view;
}

} // namespace dragonflysill
