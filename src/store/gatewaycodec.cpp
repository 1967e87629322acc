#include "dragonflysill/store/gatewaycodec.h"

#include "dragonflysill/base/base64.h"

#include <array>
#include <charconv>
#include <stdexcept>
#include <utility>

namespace dragonflysill::gateway {

namespace internal {

using Json = nlohmann::json;

/** Thrown for a malformed message; decode() turns it into Corrupt. */
class DecodeError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

std::string encodeInteger(std::int64_t number)
{
    return std::to_string(number);
}

const Json &requireObject(const Json &json)
{
    if (!json.is_object())
        throw DecodeError("expected a JSON object");
    return json;
}

/** Returns a field that holds an integer or its decimal text; 0 if it is missing. */
std::int64_t integerField(const Json &json, const char *name)
{
    const auto it = requireObject(json).find(name);
    if (it == json.end())
        return 0;
    if (it->is_number_integer())
        return it->get<std::int64_t>();
    if (!it->is_string())
        throw DecodeError(std::string(name) + " is not an integer");
    const auto &text = it->get_ref<const std::string &>();
    std::int64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || end != text.data() + text.size())
        throw DecodeError(std::string(name) + " is not an integer");
    return number;
}

bool booleanField(const Json &json, const char *name)
{
    const auto it = requireObject(json).find(name);
    if (it == json.end())
        return false;
    if (!it->is_boolean())
        throw DecodeError(std::string(name) + " is not a boolean");
    return it->get<bool>();
}

std::string stringField(const Json &json, const char *name)
{
    const auto it = requireObject(json).find(name);
    if (it == json.end())
        return {};
    if (!it->is_string())
        throw DecodeError(std::string(name) + " is not a string");
    return it->get<std::string>();
}

/** Returns the decoded content of a base64 field; empty if it is missing. */
std::string bytesField(const Json &json, const char *name)
{
    auto decoded = decodeBase64(stringField(json, name));
    if (!decoded)
        throw DecodeError(std::string(name) + ": " + decoded.error().detail);
    return std::move(decoded).value();
}

const Json &arrayField(const Json &json, const char *name)
{
    static const Json none = Json::array();
    const auto it = requireObject(json).find(name);
    if (it == json.end())
        return none;
    if (!it->is_array())
        throw DecodeError(std::string(name) + " is not an array");
    return *it;
}

std::int64_t headerRevision(const Json &json)
{
    const auto it = requireObject(json).find("header");
    if (it == json.end())
        throw DecodeError("header is missing");
    return integerField(*it, "revision");
}

template <typename T, typename Function>
Result<T> decode(std::string_view text, Function function)
{
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded())
        return Error(ErrorKind::Corrupt, "message is not JSON");
    try {
        return Result<T>(function(json));
    } catch (const DecodeError &e) {
        return Error(ErrorKind::Corrupt, e.what());
    }
}

constexpr std::array targetNames{std::pair{CompareTarget::CreateRevision, "CREATE"},
                                 std::pair{CompareTarget::ModRevision, "MOD"},
                                 std::pair{CompareTarget::Value, "VALUE"}};
constexpr std::array relationNames{std::pair{CompareRelation::Equal, "EQUAL"},
                                   std::pair{CompareRelation::NotEqual, "NOT_EQUAL"},
                                   std::pair{CompareRelation::Less, "LESS"},
                                   std::pair{CompareRelation::Greater, "GREATER"}};

template <typename Names, typename Value>
const char *nameForValue(const Names &names, Value value)
{
    for (const auto &[it, name] : names) {
        if (it == value)
            return name;
    }
    return "";
}

template <typename Names>
auto valueForName(const Names &names, const std::string &text)
{
    for (const auto &[value, name] : names) {
        if (text == name)
            return value;
    }
    throw DecodeError("'" + text + "' is not supported in a comparison");
}

Json toJson(const Compare &compare)
{
    Json json{{"key", encodeBase64(compare.key)},
              {"target", nameForValue(targetNames, compare.target)},
              {"result", nameForValue(relationNames, compare.relation)}};
    if (compare.target == CompareTarget::Value)
        json["value"] = encodeBase64(compare.value);
    else if (compare.target == CompareTarget::CreateRevision)
        json["create_revision"] = encodeInteger(compare.revision);
    else
        json["mod_revision"] = encodeInteger(compare.revision);
    return json;
}

Compare parseCompare(const Json &json)
{
    Compare compare;
    compare.key = bytesField(json, "key");
    compare.target = valueForName(targetNames, stringField(json, "target"));
    const std::string relation = stringField(json, "result");
    // EQUAL is the default value of the field, so the gateway may omit it.
    if (!relation.empty())
        compare.relation = valueForName(relationNames, relation);
    if (compare.target == CompareTarget::Value)
        compare.value = bytesField(json, "value");
    else if (compare.target == CompareTarget::CreateRevision)
        compare.revision = integerField(json, "create_revision");
    else
        compare.revision = integerField(json, "mod_revision");
    return compare;
}

RangeOperation parseRange(const Json &json)
{
    return {bytesField(json, "key"), bytesField(json, "range_end")};
}

PutOperation parsePut(const Json &json)
{
    return {bytesField(json, "key"), bytesField(json, "value"), integerField(json, "lease")};
}

Json toJson(const Operation &operation)
{
    if (const auto *put = std::get_if<PutOperation>(&operation))
        return {{"request_put", encodePut(*put)}};
    if (const auto *deletion = std::get_if<DeleteOperation>(&operation)) {
        return {{"request_delete_range",
                 encodeRange(RangeOperation{deletion->key, deletion->rangeEnd})}};
    }
    return {{"request_range", encodeRange(std::get<RangeOperation>(operation))}};
}

Operation parseOperation(const Json &json)
{
    if (const auto it = requireObject(json).find("request_put"); it != json.end())
        return parsePut(*it);
    if (const auto it = json.find("request_delete_range"); it != json.end())
        return DeleteOperation{bytesField(*it, "key"), bytesField(*it, "range_end")};
    if (const auto it = json.find("request_range"); it != json.end())
        return parseRange(*it);
    throw DecodeError("unsupported operation in a transaction");
}

Json toJson(const KeyValue &value)
{
    Json json{{"key", encodeBase64(value.key)},
              {"create_revision", encodeInteger(value.createRevision)},
              {"mod_revision", encodeInteger(value.modRevision)},
              {"value", encodeBase64(value.value)}};
    if (value.lease != 0)
        json["lease"] = encodeInteger(value.lease);
    return json;
}

KeyValue parseKeyValue(const Json &json)
{
    KeyValue value{bytesField(json, "key"), bytesField(json, "value"),
                   integerField(json, "create_revision"), integerField(json, "mod_revision"),
                   integerField(json, "lease")};
    if (value.key.empty() || value.createRevision <= 0 || value.modRevision <= 0)
        throw DecodeError("key value without key or revision");
    return value;
}

RangeResult parseRangeResult(const Json &json, std::int64_t revision)
{
    RangeResult result{revision, {}};
    for (const Json &it : arrayField(json, "kvs"))
        result.keyValues.push_back(parseKeyValue(it));
    return result;
}

Json encodeRangeResult(const RangeResult &result)
{
    Json json = encodeHeader(result.revision);
    if (result.keyValues.empty())
        return json;
    json["count"] = encodeInteger(static_cast<std::int64_t>(result.keyValues.size()));
    for (const KeyValue &it : result.keyValues)
        json["kvs"].push_back(toJson(it));
    return json;
}

Json toJson(const KeyUpdate &update)
{
    Json value{{"key", encodeBase64(update.key)}, {"mod_revision", encodeInteger(update.revision)}};
    if (update.deleted)
        return {{"type", "DELETE"}, {"kv", std::move(value)}};
    value["value"] = encodeBase64(update.value);
    return {{"kv", std::move(value)}};
}

KeyUpdate parseUpdate(const Json &json)
{
    const auto it = requireObject(json).find("kv");
    if (it == json.end())
        throw DecodeError("event without key value");
    const std::string type = stringField(json, "type");
    if (!type.empty() && type != "PUT" && type != "DELETE")
        throw DecodeError("event of unknown type");
    KeyUpdate update{bytesField(*it, "key"), bytesField(*it, "value"),
                     integerField(*it, "mod_revision"), type == "DELETE"};
    if (update.key.empty() || update.revision <= 0)
        throw DecodeError("event without key or revision");
    return update;
}

Json encodeLease(const Lease &lease, std::int64_t revision)
{
    Json json = encodeHeader(revision);
    json["ID"] = encodeInteger(lease.id);
    if (lease.ttlSeconds > 0)
        json["TTL"] = encodeInteger(lease.ttlSeconds);
    return json;
}

Lease parseLease(const Json &json)
{
    const Lease lease{integerField(json, "ID"), integerField(json, "TTL")};
    if (lease.id == 0)
        throw DecodeError("lease without ID");
    return lease;
}

/** Returns the content of a stream message, which the gateway wraps in a "result" field. */
const Json &streamResult(const Json &json)
{
    const auto it = requireObject(json).find("result");
    if (it == json.end())
        throw DecodeError("stream message without result");
    return *it;
}

} // namespace internal

nlohmann::json encodeRange(const RangeOperation &operation)
{
    nlohmann::json json{{"key", encodeBase64(operation.key)}};
    if (!operation.rangeEnd.empty())
        json["range_end"] = encodeBase64(operation.rangeEnd);
    return json;
}

nlohmann::json encodePut(const PutOperation &operation)
{
    nlohmann::json json{{"key", encodeBase64(operation.key)},
                        {"value", encodeBase64(operation.value)}};
    if (operation.lease != 0)
        json["lease"] = internal::encodeInteger(operation.lease);
    return json;
}

nlohmann::json encodeTransaction(const Transaction &transaction)
{
    nlohmann::json json = nlohmann::json::object();
    for (const Compare &it : transaction.compares)
        json["compare"].push_back(internal::toJson(it));
    for (const Operation &it : transaction.success)
        json["success"].push_back(internal::toJson(it));
    for (const Operation &it : transaction.failure)
        json["failure"].push_back(internal::toJson(it));
    return json;
}

nlohmann::json encodeLeaseGrant(std::int64_t ttlSeconds)
{
    return {{"TTL", internal::encodeInteger(ttlSeconds)}};
}

nlohmann::json encodeLeaseId(LeaseId id)
{
    return {{"ID", internal::encodeInteger(id)}};
}

nlohmann::json encodeWatch(const WatchRequest &request)
{
    nlohmann::json json = encodeRange(request.keys);
    if (request.startRevision != 0)
        json["start_revision"] = internal::encodeInteger(request.startRevision);
    if (request.progressNotify)
        json["progress_notify"] = true;
    return {{"create_request", std::move(json)}};
}

Result<RangeOperation> decodeRange(std::string_view text)
{
    return internal::decode<RangeOperation>(text, internal::parseRange);
}

Result<PutOperation> decodePut(std::string_view text)
{
    return internal::decode<PutOperation>(text, internal::parsePut);
}

Result<Transaction> decodeTransaction(std::string_view text)
{
    return internal::decode<Transaction>(text, [](const nlohmann::json &json) {
        Transaction transaction;
        for (const auto &it : internal::arrayField(json, "compare"))
            transaction.compares.push_back(internal::parseCompare(it));
        for (const auto &it : internal::arrayField(json, "success"))
            transaction.success.push_back(internal::parseOperation(it));
        for (const auto &it : internal::arrayField(json, "failure"))
            transaction.failure.push_back(internal::parseOperation(it));
        return transaction;
    });
}

Result<std::int64_t> decodeLeaseGrant(std::string_view text)
{
    return internal::decode<std::int64_t>(
            text, [](const nlohmann::json &json) { return internal::integerField(json, "TTL"); });
}

Result<LeaseId> decodeLeaseId(std::string_view text)
{
    return internal::decode<LeaseId>(
            text, [](const nlohmann::json &json) { return internal::integerField(json, "ID"); });
}

Result<WatchRequest> decodeWatch(std::string_view text)
{
    return internal::decode<WatchRequest>(text, [](const nlohmann::json &json) {
        const auto it = internal::requireObject(json).find("create_request");
        if (it == json.end())
            throw internal::DecodeError("only create_request is supported");
        return WatchRequest{internal::parseRange(*it),
                            internal::integerField(*it, "start_revision"),
                            internal::booleanField(*it, "progress_notify")};
    });
}

Result<std::int64_t> decodeCompaction(std::string_view text)
{
    return internal::decode<std::int64_t>(text, [](const nlohmann::json &json) {
        return internal::integerField(json, "revision");
    });
}

nlohmann::json encodeHeader(std::int64_t revision)
{
    return {{"header", {{"revision", internal::encodeInteger(revision)}}}};
}

nlohmann::json encodeResponse(const RangeResult &result)
{
    return internal::encodeRangeResult(result);
}

nlohmann::json encodeResponse(const Transaction &transaction, const TransactionResult &result)
{
    nlohmann::json json = encodeHeader(result.revision);
    if (result.succeeded)
        json["succeeded"] = true;
    std::size_t ranges = 0;
    for (const Operation &it : result.succeeded ? transaction.success : transaction.failure) {
        nlohmann::json response;
        if (std::holds_alternative<PutOperation>(it))
            response["response_put"] = encodeHeader(result.revision);
        else if (std::holds_alternative<DeleteOperation>(it))
            response["response_delete_range"] = encodeHeader(result.revision);
        else
            response["response_range"] = internal::encodeRangeResult(result.ranges[ranges++]);
        json["responses"].push_back(std::move(response));
    }
    return json;
}

nlohmann::json encodeResponse(const Lease &lease, std::int64_t revision)
{
    return internal::encodeLease(lease, revision);
}

nlohmann::json encodeKeepAliveResponse(const Lease &lease, std::int64_t revision)
{
    return {{"result", internal::encodeLease(lease, revision)}};
}

nlohmann::json encodeResponse(const WatchResponse &response)
{
    nlohmann::json json = encodeHeader(response.revision);
    if (response.created)
        json["created"] = true;
    if (response.canceled)
        json["canceled"] = true;
    if (response.compactRevision != 0)
        json["compact_revision"] = internal::encodeInteger(response.compactRevision);
    for (const KeyUpdate &it : response.updates)
        json["events"].push_back(internal::toJson(it));
    return {{"result", std::move(json)}};
}

nlohmann::json encodeResponse(const ErrorResponse &response)
{
    return {{"error", response.message}, {"code", response.code}, {"message", response.message}};
}

Result<RangeResult> decodeRangeResponse(std::string_view text)
{
    return internal::decode<RangeResult>(text, [](const nlohmann::json &json) {
        return internal::parseRangeResult(json, internal::headerRevision(json));
    });
}

Result<TransactionResult> decodeTransactionResponse(const Transaction &transaction,
                                                    std::string_view text)
{
    return internal::decode<TransactionResult>(text, [&transaction](const nlohmann::json &json) {
        TransactionResult result;
        result.revision = internal::headerRevision(json);
        result.succeeded = internal::booleanField(json, "succeeded");
        const auto &responses = internal::arrayField(json, "responses");
        const auto &branch = result.succeeded ? transaction.success : transaction.failure;
        if (responses.size() != branch.size())
            throw internal::DecodeError(
                    "the responses do not match the operations of the transaction");
        for (std::size_t n = 0; n < branch.size(); ++n) {
            if (!std::holds_alternative<RangeOperation>(branch[n]))
                continue;
            const auto range = internal::requireObject(responses[n]).find("response_range");
            if (range == responses[n].end())
                throw internal::DecodeError(
                        "the responses do not match the operations of the transaction");
            result.ranges.push_back(internal::parseRangeResult(*range, result.revision));
        }
        return result;
    });
}

Result<Lease> decodeLeaseResponse(std::string_view text)
{
    return internal::decode<Lease>(text, internal::parseLease);
}

Result<Lease> decodeKeepAliveResponse(std::string_view text)
{
    return internal::decode<Lease>(text, [](const nlohmann::json &json) {
        return internal::parseLease(internal::streamResult(json));
    });
}

Result<Done> decodeHeaderOnlyResponse(std::string_view text)
{
    return internal::decode<Done>(text, [](const nlohmann::json &json) {
        internal::headerRevision(json);
        return Done{};
    });
}

Result<WatchResponse> decodeWatchResponse(std::string_view text)
{
    return internal::decode<WatchResponse>(text, [](const nlohmann::json &json) {
        const auto &result = internal::streamResult(json);
        WatchResponse response;
        response.revision = internal::headerRevision(result);
        response.created = internal::booleanField(result, "created");
        response.canceled = internal::booleanField(result, "canceled");
        response.compactRevision = internal::integerField(result, "compact_revision");
        for (const auto &it : internal::arrayField(result, "events"))
            response.updates.push_back(internal::parseUpdate(it));
        return response;
    });
}

Result<ErrorResponse> decodeErrorResponse(std::string_view text)
{
    return internal::decode<ErrorResponse>(text, [](const nlohmann::json &json) {
        ErrorResponse response;
        response.code = static_cast<int>(internal::integerField(json, "code"));
        response.message = internal::stringField(json, "message");
        if (response.message.empty())
            response.message = internal::stringField(json, "error");
        return response;
    });
}

} // namespace dragonflysill::gateway
