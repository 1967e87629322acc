#pragma once

#include "dragonflysill/contracts/problem.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflysill::internal {

enum class Presence { Required, Optional };

/** The smallest and the largest accepted value of a numeric field. */
struct NumberRange
{
    double lowest;
    double highest;
};

/**
 * Reads the fields of one JSON object and reports every field that is missing, unknown, of a wrong
 * type or out of range. The object and the list of problems must outlive it.
 */
class FieldReader
{
public:
    /**
     * @param object the object to read; a value of another type is reported as a problem
     * @param pointer the JSON pointer of the object in the ticket
     * @param problems the list to which problems are added
     */
    FieldReader(const nlohmann::json &object, std::string pointer, Problems &problems);

    void text(std::string_view field, std::string &value, Presence presence);

    /** Reads a name that becomes part of store keys and of URLs. */
    void name(std::string_view field, std::string &value, Presence presence);

    /** Reads the IP address and port of a backend server. */
    void address(std::string_view field, std::string &value);

    void flag(std::string_view field, bool &value);
    void integer(std::string_view field, std::int64_t &value, NumberRange range,
                 Presence presence = Presence::Optional);
    void integer(std::string_view field, int &value, NumberRange range,
                 Presence presence = Presence::Optional);
    void number(std::string_view field, double &value, NumberRange range,
                Presence presence = Presence::Optional);

    /** Reads the text of an enumerator. */
    template <typename Enum>
    void choice(std::string_view field, Enum &value,
                std::initializer_list<std::pair<std::string_view, Enum>> choices)
    {
        const nlohmann::json *found = find(field, Presence::Optional);
        if (found == nullptr)
            return;
        std::string allowed;
        for (const auto &it : choices) {
            if (found->is_string() && found->get_ref<const std::string &>() == it.first) {
                value = it.second;
                return;
            }
            allowed += (allowed.empty() ? "" : ", ") + std::string(it.first);
        }
        report(field, "unknown value " + shortened(*found), "use one of: " + allowed);
    }

    /** Returns the elements of an array field; empty if the field is missing. */
    std::span<const nlohmann::json> array(std::string_view field, Presence presence);

    /** Reports the fields that were not read before as unknown. Must be the last call. */
    void finish();

    /** Adds a problem of a field, or of the object itself if @p field is empty. */
    void report(std::string_view field, std::string message, std::string remedy);

    /** Returns the JSON pointer of a field. */
    [[nodiscard]] std::string pointerOf(std::string_view field) const;

    /** Returns true if a problem was reported for this object. */
    [[nodiscard]] bool malformed() const { return m_malformed; }

    /** Returns a value as JSON, truncated for use in a message. */
    static std::string shortened(const nlohmann::json &value);

private:
    const nlohmann::json *find(std::string_view field, Presence presence);
    void reportType(std::string_view field, const nlohmann::json &found, std::string_view wanted);
    bool checkRange(std::string_view field, const nlohmann::json &found, NumberRange range);
    std::string remedyForUnknown(std::string_view field) const;

    const nlohmann::json &m_object;
    std::string m_pointer;
    Problems &m_problems;
    std::vector<std::string> m_knownFields;
    bool m_malformed = false;
};

} // namespace dragonflysill::internal
