#include "fieldreader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace dragonflysill::internal {

namespace {

/** Maximum length of a name; the interfaces that show names have labels of this length. */
constexpr std::size_t nameLengthLimit{63};

bool isNameCharacter(char ch)
{
    return (ch >= 'a' && ch <= 'z') || (ch >= 'A' && ch <= 'Z') || (ch >= '0' && ch <= '9')
           || ch == '.' || ch == '_' || ch == '-';
}

bool isName(std::string_view text)
{
    const auto isPunctuation = [](char ch) { return ch == '.' || ch == '_' || ch == '-'; };
    return !text.empty() && text.size() <= nameLengthLimit && !isPunctuation(text.front())
           && std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    const std::string host(text.substr(0, colon));
    in_addr parsed{};
    if (inet_pton(AF_INET, host.c_str(), &parsed) != 1)
        return false;
    const std::string_view digits = text.substr(colon + 1);
    int port = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    constexpr int largestPort = 65535;
    return ec == std::errc() && end == digits.data() + digits.size() && port > 0
           && port <= largestPort;
}

/** Returns a field name without its unit, for example "deadline" for "deadline_ms". */
std::string_view withoutUnit(std::string_view field)
{
    constexpr std::string_view units[] = {"ms", "s",  "sec", "seconds", "min", "minutes", "us",
                                          "h",  "mb", "gb",  "kb",      "mib", "gib",     "bytes"};
    for (const std::string_view unit : units) {
        if (field.size() > unit.size() + 1 && field.ends_with(unit)
            && field[field.size() - unit.size() - 1] == '_')
            return field.substr(0, field.size() - unit.size() - 1);
    }
    return field;
}

/** Returns the Levenshtein distance of two short texts. */
std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t n = 0; n <= b.size(); ++n)
        row[n] = n;
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t n = 1; n <= b.size(); ++n) {
            const std::size_t replaced = diagonal + (a[i - 1] == b[n - 1] ? 0 : 1);
            diagonal = row[n];
            row[n] = std::min({replaced, row[n] + 1, row[n - 1] + 1});
        }
    }
    return row[b.size()];
}

std::string formatNumber(double value)
{
    if (std::floor(value) == value && std::abs(value) < 1e15)
        return std::to_string(static_cast<std::int64_t>(value));
    return nlohmann::json(value).dump();
}

/** Escapes a field name for a JSON pointer (RFC 6901). */
std::string escapeToken(std::string_view field)
{
    std::string text;
    for (const char ch : field) {
        if (ch == '~')
            text += "~0";
        else if (ch == '/')
            text += "~1";
        else
            text += ch;
    }
    return text;
}

} // namespace

FieldReader::FieldReader(const nlohmann::json &object, std::string pointer, Problems &problems)
    : m_object(object)
    , m_pointer(std::move(pointer))
    , m_problems(problems)
{
    if (!m_object.is_object())
        report("", "expected a JSON object, found " + shortened(m_object),
               "write the object with its fields in braces");
}

void FieldReader::text(std::string_view field, std::string &value, Presence presence)
{
    const nlohmann::json *found = find(field, presence);
    if (found == nullptr)
        return;
    if (!found->is_string())
        reportType(field, *found, "a string");
    else if (presence == Presence::Required && found->get_ref<const std::string &>().empty())
        report(field, "must not be empty", "give a value");
    else
        value = found->get<std::string>();
}

void FieldReader::name(std::string_view field, std::string &value, Presence presence)
{
    const nlohmann::json *found = find(field, presence);
    if (found == nullptr)
        return;
    if (!found->is_string()) {
        reportType(field, *found, "a string");
        return;
    }
    const auto &text = found->get_ref<const std::string &>();
    if (text.empty() && presence == Presence::Optional)
        return;
    if (isName(text))
        value = text;
    else
        report(field, "unusable name " + shortened(*found),
               "use 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit");
}

void FieldReader::address(std::string_view field, std::string &value)
{
    const nlohmann::json *found = find(field, Presence::Required);
    if (found == nullptr)
        return;
    if (!found->is_string())
        reportType(field, *found, "a string");
    else if (!isAddress(found->get_ref<const std::string &>()))
        report(field, "unusable address " + shortened(*found),
               "give IP:PORT, for example 10.0.0.1:8080");
    else
        value = found->get<std::string>();
}

void FieldReader::flag(std::string_view field, bool &value)
{
    const nlohmann::json *found = find(field, Presence::Optional);
    if (found == nullptr)
        return;
    if (found->is_boolean())
        value = found->get<bool>();
    else
        reportType(field, *found, "true or false");
}

void FieldReader::integer(std::string_view field, std::int64_t &value, NumberRange range,
                          Presence presence)
{
    const nlohmann::json *found = find(field, presence);
    if (found == nullptr)
        return;
    if (!found->is_number_integer())
        reportType(field, *found, "an integer");
    else if (checkRange(field, *found, range))
        value = found->get<std::int64_t>();
}

void FieldReader::integer(std::string_view field, int &value, NumberRange range, Presence presence)
{
    std::int64_t wide = value;
    integer(field, wide, range, presence);
    value = static_cast<int>(wide);
}

void FieldReader::number(std::string_view field, double &value, NumberRange range,
                         Presence presence)
{
    const nlohmann::json *found = find(field, presence);
    if (found == nullptr)
        return;
    if (!found->is_number())
        reportType(field, *found, "a number");
    else if (checkRange(field, *found, range))
        value = found->get<double>();
}

std::span<const nlohmann::json> FieldReader::array(std::string_view field, Presence presence)
{
    const nlohmann::json *found = find(field, presence);
    if (found == nullptr)
        return {};
    if (!found->is_array()) {
        reportType(field, *found, "an array");
        return {};
    }
    const auto &elements = found->get_ref<const nlohmann::json::array_t &>();
    return {elements.data(), elements.size()};
}

void FieldReader::finish()
{
    if (!m_object.is_object())
        return;
    for (const auto &it : m_object.items()) {
        if (std::find(m_knownFields.begin(), m_knownFields.end(), it.key()) == m_knownFields.end())
            report(it.key(), "unknown field", remedyForUnknown(it.key()));
    }
}

void FieldReader::report(std::string_view field, std::string message, std::string remedy)
{
    m_malformed = true;
    m_problems.push_back(
            {field.empty() ? m_pointer : pointerOf(field), std::move(message), std::move(remedy)});
}

std::string FieldReader::pointerOf(std::string_view field) const
{
    return m_pointer + "/" + escapeToken(field);
}

std::string FieldReader::shortened(const nlohmann::json &value)
{
    constexpr std::size_t limit{60};
    if (value.is_structured())
        return value.is_array() ? "an array" : "an object";
    std::string text = value.dump(-1, ' ', true);
    if (text.size() > limit)
        text = text.substr(0, limit) + "...";
    return text;
}

const nlohmann::json *FieldReader::find(std::string_view field, Presence presence)
{
    m_knownFields.emplace_back(field);
    if (!m_object.is_object())
        return nullptr;
    const auto it = m_object.find(field);
    if (it != m_object.end())
        return &*it;
    if (presence == Presence::Required)
        report(field, "missing field", "add the field");
    return nullptr;
}

void FieldReader::reportType(std::string_view field, const nlohmann::json &found,
                             std::string_view wanted)
{
    report(field, "expected " + std::string(wanted) + ", found " + shortened(found),
           "write the value as " + std::string(wanted) + " without quotes or unit");
    if (wanted == "a string")
        m_problems.back().remedy = "write the value in quotes";
}

bool FieldReader::checkRange(std::string_view field, const nlohmann::json &found, NumberRange range)
{
    const auto value = found.get<double>();
    if (value >= range.lowest && value <= range.highest)
        return true;
    report(field, "value " + shortened(found) + " is out of range",
           "use a value from " + formatNumber(range.lowest) + " to " + formatNumber(range.highest));
    return false;
}

std::string FieldReader::remedyForUnknown(std::string_view field) const
{
    if (field == "ticket")
        return "remove the field; the system sets the number when it accepts the ticket";
    for (const auto &it : m_knownFields) {
        if (withoutUnit(field) == withoutUnit(it))
            return "use '" + it + "' and convert the value to the unit in its name";
    }
    constexpr std::size_t maxDistance{2};
    for (const auto &it : m_knownFields) {
        if (editDistance(field, it) <= maxDistance)
            return "use '" + it + "'";
    }
    std::string fields;
    for (const auto &it : m_knownFields)
        fields += (fields.empty() ? "" : ", ") + it;
    return "remove the field; known fields are: " + fields;
}

} // namespace dragonflysill::internal
