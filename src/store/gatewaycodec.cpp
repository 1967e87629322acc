#include "dragonflysill/store/gatewaycodec.h"

#include "dragonflysill/base/base64.h"

#include <array>
#include <charconv>
#include <stdexcept>
#include <utility>

namespace dragonflysill::gateway {

namespace internal {

using Json = nlohmann::json;

/** Reports a message in a wrong form; decode() turns it into Corrupt. */
class FormError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

std::string textOf(std::int64_t number)
{
    return std::to_string(number);
}

const Json &objectOf(const Json &json)
{
    if (!json.is_object())
        throw FormError("expected a JSON object");
    return json;
}

std::int64_t integer(const Json &json, const char *name)
{
    const auto it = objectOf(json).find(name);
    if (it == json.end())
        return 0;
    if (it->is_number_integer())
        return it->get<std::int64_t>();
    if (!it->is_string())
        throw FormError(std::string(name) + " is not an integer");
    const auto &text = it->get_ref<const std::string &>();
    std::int64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || end != text.data() + text.size())
        throw FormError(std::string(name) + " is not an integer");
    return number;
}

bool flag(const Json &json, const char *name)
{
    const auto it = objectOf(json).find(name);
    if (it == json.end())
        return false;
    if (!it->is_boolean())
        throw FormError(std::string(name) + " is not a boolean");
    return it->get<bool>();
}

std::string text(const Json &json, const char *name)
{
    const auto it = objectOf(json).find(name);
    if (it == json.end())
        return {};
    if (!it->is_string())
        throw FormError(std::string(name) + " is not a string");
    return it->get<std::string>();
}

std::string bytes(const Json &json, const char *name)
{
    auto decoded = decodeBase64(text(json, name));
    if (!decoded)
        throw FormError(std::string(name) + ": " + decoded.error().detail);
    return std::move(decoded).value();
}

const Json &array(const Json &json, const char *name)
{
    static const Json none = Json::array();
    const auto it = objectOf(json).find(name);
    if (it == json.end())
        return none;
    if (!it->is_array())
        throw FormError(std::string(name) + " is not an array");
    return *it;
}

std::int64_t revisionOf(const Json &json)
{
    const auto it = objectOf(json).find("header");
    if (it == json.end())
        throw FormError("header is missing");
    return integer(*it, "revision");
}

template <typename T, typename Function>
Result<T> decode(std::string_view text, Function function)
{
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded())
        return Error(ErrorKind::Corrupt, "message is not JSON");
    try {
        return Result<T>(function(json));
    } catch (const FormError &e) {
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
const char *nameOf(const Names &names, Value value)
{
    for (const auto &[it, name] : names) {
        if (it == value)
            return name;
    }
    return "";
}

template <typename Names>
auto valueOf(const Names &names, const std::string &text)
{
    for (const auto &[value, name] : names) {
        if (text == name)
            return value;
    }
    throw FormError("'" + text + "' is not supported in a comparison");
}

Json toJson(const Compare &compare)
{
    Json json{{"key", encodeBase64(compare.key)},
              {"target", nameOf(targetNames, compare.target)},
              {"result", nameOf(relationNames, compare.relation)}};
    if (compare.target == CompareTarget::Value)
        json["value"] = encodeBase64(compare.value);
    else if (compare.target == CompareTarget::CreateRevision)
        json["create_revision"] = textOf(compare.revision);
    else
        json["mod_revision"] = textOf(compare.revision);
    return json;
}

Compare compareOf(const Json &json)
{
    Compare compare;
    compare.key = bytes(json, "key");
    compare.target = valueOf(targetNames, text(json, "target"));
    const std::string relation = text(json, "result");
    // EQUAL is the default value of the field, which the gateway may leave out.
    if (!relation.empty())
        compare.relation = valueOf(relationNames, relation);
    if (compare.target == CompareTarget::Value)
        compare.value = bytes(json, "value");
    else if (compare.target == CompareTarget::CreateRevision)
        compare.revision = integer(json, "create_revision");
    else
        compare.revision = integer(json, "mod_revision");
    return compare;
}

RangeOperation rangeOf(const Json &json)
{
    return {bytes(json, "key"), bytes(json, "range_end")};
}

PutOperation putOf(const Json &json)
{
    return {bytes(json, "key"), bytes(json, "value"), integer(json, "lease")};
}

Json toJson(const Operation &operation)
{
    if (const auto *put = std::get_if<PutOperation>(&operation))
        return {{"request_put", encodePut(*put)}};
    if (const auto *erased = std::get_if<DeleteOperation>(&operation)) {
        return {{"request_delete_range",
                 encodeRange(RangeOperation{erased->key, erased->rangeEnd})}};
    }
    return {{"request_range", encodeRange(std::get<RangeOperation>(operation))}};
}

Operation operationOf(const Json &json)
{
    if (const auto it = objectOf(json).find("request_put"); it != json.end())
        return putOf(*it);
    if (const auto it = json.find("request_delete_range"); it != json.end())
        return DeleteOperation{bytes(*it, "key"), bytes(*it, "range_end")};
    if (const auto it = json.find("request_range"); it != json.end())
        return rangeOf(*it);
    throw FormError("the operation of a transaction is not supported");
}

Json toJson(const KeyValue &value)
{
    Json json{{"key", encodeBase64(value.key)},
              {"create_revision", textOf(value.createRevision)},
              {"mod_revision", textOf(value.modRevision)},
              {"value", encodeBase64(value.value)}};
    if (value.lease != 0)
        json["lease"] = textOf(value.lease);
    return json;
}

KeyValue keyValueOf(const Json &json)
{
    KeyValue value{bytes(json, "key"), bytes(json, "value"), integer(json, "create_revision"),
                   integer(json, "mod_revision"), integer(json, "lease")};
    if (value.key.empty() || value.createRevision <= 0 || value.modRevision <= 0)
        throw FormError("a key value without key or revisions");
    return value;
}

RangeResult rangeResultOf(const Json &json, std::int64_t revision)
{
    RangeResult result{revision, {}};
    for (const Json &it : array(json, "kvs"))
        result.keyValues.push_back(keyValueOf(it));
    return result;
}

Json rangeResponse(const RangeResult &result)
{
    Json json = encodeHeader(result.revision);
    if (result.keyValues.empty())
        return json;
    json["count"] = textOf(static_cast<std::int64_t>(result.keyValues.size()));
    for (const KeyValue &it : result.keyValues)
        json["kvs"].push_back(toJson(it));
    return json;
}

Json toJson(const KeyUpdate &update)
{
    Json value{{"key", encodeBase64(update.key)}, {"mod_revision", textOf(update.revision)}};
    if (update.deleted)
        return {{"type", "DELETE"}, {"kv", std::move(value)}};
    value["value"] = encodeBase64(update.value);
    return {{"kv", std::move(value)}};
}

KeyUpdate updateOf(const Json &json)
{
    const auto it = objectOf(json).find("kv");
    if (it == json.end())
        throw FormError("an event without a key value");
    const std::string type = text(json, "type");
    if (!type.empty() && type != "PUT" && type != "DELETE")
        throw FormError("an event of unknown type");
    KeyUpdate update{bytes(*it, "key"), bytes(*it, "value"), integer(*it, "mod_revision"),
                     type == "DELETE"};
    if (update.key.empty() || update.revision <= 0)
        throw FormError("an event without key or revision");
    return update;
}

Json leaseJson(const Lease &lease, std::int64_t revision)
{
    Json json = encodeHeader(revision);
    json["ID"] = textOf(lease.id);
    if (lease.ttlSeconds > 0)
        json["TTL"] = textOf(lease.ttlSeconds);
    return json;
}

Lease leaseOf(const Json &json)
{
    const Lease lease{integer(json, "ID"), integer(json, "TTL")};
    if (lease.id == 0)
        throw FormError("a lease without id");
    return lease;
}

/** Returns the "result" that the gateway wraps around each message of a stream. */
const Json &streamResult(const Json &json)
{
    const auto it = objectOf(json).find("result");
    if (it == json.end())
        throw FormError("a stream message without result");
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
        json["lease"] = internal::textOf(operation.lease);
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
    return {{"TTL", internal::textOf(ttlSeconds)}};
}

nlohmann::json encodeLeaseId(LeaseId id)
{
    return {{"ID", internal::textOf(id)}};
}

nlohmann::json encodeWatch(const WatchRequest &request)
{
    nlohmann::json json = encodeRange(request.keys);
    if (request.startRevision != 0)
        json["start_revision"] = internal::textOf(request.startRevision);
    if (request.progressNotify)
        json["progress_notify"] = true;
    return {{"create_request", std::move(json)}};
}

Result<RangeOperation> decodeRange(std::string_view text)
{
    return internal::decode<RangeOperation>(text, internal::rangeOf);
}

Result<PutOperation> decodePut(std::string_view text)
{
    return internal::decode<PutOperation>(text, internal::putOf);
}

Result<Transaction> decodeTransaction(std::string_view text)
{
    return internal::decode<Transaction>(text, [](const nlohmann::json &json) {
        Transaction transaction;
        for (const auto &it : internal::array(json, "compare"))
            transaction.compares.push_back(internal::compareOf(it));
        for (const auto &it : internal::array(json, "success"))
            transaction.success.push_back(internal::operationOf(it));
        for (const auto &it : internal::array(json, "failure"))
            transaction.failure.push_back(internal::operationOf(it));
        return transaction;
    });
}

Result<std::int64_t> decodeLeaseGrant(std::string_view text)
{
    return internal::decode<std::int64_t>(
            text, [](const nlohmann::json &json) { return internal::integer(json, "TTL"); });
}

Result<LeaseId> decodeLeaseId(std::string_view text)
{
    return internal::decode<LeaseId>(
            text, [](const nlohmann::json &json) { return internal::integer(json, "ID"); });
}

Result<WatchRequest> decodeWatch(std::string_view text)
{
    return internal::decode<WatchRequest>(text, [](const nlohmann::json &json) {
        const auto it = internal::objectOf(json).find("create_request");
        if (it == json.end())
            throw internal::FormError("only create_request is supported");
        return WatchRequest{internal::rangeOf(*it), internal::integer(*it, "start_revision"),
                            internal::flag(*it, "progress_notify")};
    });
}

Result<std::int64_t> decodeCompaction(std::string_view text)
{
    return internal::decode<std::int64_t>(
            text, [](const nlohmann::json &json) { return internal::integer(json, "revision"); });
}

nlohmann::json encodeHeader(std::int64_t revision)
{
    return {{"header", {{"revision", internal::textOf(revision)}}}};
}

nlohmann::json encodeResponse(const RangeResult &result)
{
    return internal::rangeResponse(result);
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
            response["response_range"] = internal::rangeResponse(result.ranges[ranges++]);
        json["responses"].push_back(std::move(response));
    }
    return json;
}

nlohmann::json encodeResponse(const Lease &lease, std::int64_t revision)
{
    return internal::leaseJson(lease, revision);
}

nlohmann::json encodeKeepAliveResponse(const Lease &lease, std::int64_t revision)
{
    return {{"result", internal::leaseJson(lease, revision)}};
}

nlohmann::json encodeResponse(const WatchResponse &answer)
{
    nlohmann::json json = encodeHeader(answer.revision);
    if (answer.created)
        json["created"] = true;
    if (answer.canceled)
        json["canceled"] = true;
    if (answer.compactRevision != 0)
        json["compact_revision"] = internal::textOf(answer.compactRevision);
    for (const KeyUpdate &it : answer.updates)
        json["events"].push_back(internal::toJson(it));
    return {{"result", std::move(json)}};
}

nlohmann::json encodeResponse(const ErrorResponse &answer)
{
    return {{"error", answer.message}, {"code", answer.code}, {"message", answer.message}};
}

Result<RangeResult> decodeRangeAnswer(std::string_view text)
{
    return internal::decode<RangeResult>(text, [](const nlohmann::json &json) {
        return internal::rangeResultOf(json, internal::revisionOf(json));
    });
}

Result<TransactionResult> decodeTransactionAnswer(const Transaction &transaction,
                                                  std::string_view text)
{
    return internal::decode<TransactionResult>(text, [&transaction](const nlohmann::json &json) {
        TransactionResult result;
        result.revision = internal::revisionOf(json);
        result.succeeded = internal::flag(json, "succeeded");
        const auto &responses = internal::array(json, "responses");
        const auto &branch = result.succeeded ? transaction.success : transaction.failure;
        if (responses.size() != branch.size())
            throw internal::FormError("responses do not match the operations");
        for (std::size_t n = 0; n < branch.size(); ++n) {
            if (!std::holds_alternative<RangeOperation>(branch[n]))
                continue;
            const auto range = internal::objectOf(responses[n]).find("response_range");
            if (range == responses[n].end())
                throw internal::FormError("responses do not match the operations");
            result.ranges.push_back(internal::rangeResultOf(*range, result.revision));
        }
        return result;
    });
}

Result<Lease> decodeLeaseAnswer(std::string_view text)
{
    return internal::decode<Lease>(text, internal::leaseOf);
}

Result<Lease> decodeKeepAliveAnswer(std::string_view text)
{
    return internal::decode<Lease>(text, [](const nlohmann::json &json) {
        return internal::leaseOf(internal::streamResult(json));
    });
}

Result<Done> decodeEmptyAnswer(std::string_view text)
{
    return internal::decode<Done>(text, [](const nlohmann::json &json) {
        internal::revisionOf(json);
        return Done{};
    });
}

Result<WatchResponse> decodeWatchAnswer(std::string_view text)
{
    return internal::decode<WatchResponse>(text, [](const nlohmann::json &json) {
        const auto &result = internal::streamResult(json);
        WatchResponse answer;
        answer.revision = internal::revisionOf(result);
        answer.created = internal::flag(result, "created");
        answer.canceled = internal::flag(result, "canceled");
        answer.compactRevision = internal::integer(result, "compact_revision");
        for (const auto &it : internal::array(result, "events"))
            answer.updates.push_back(internal::updateOf(it));
        return answer;
    });
}

Result<ErrorResponse> decodeErrorAnswer(std::string_view text)
{
    return internal::decode<ErrorResponse>(text, [](const nlohmann::json &json) {
        ErrorResponse answer;
        answer.code = static_cast<int>(internal::integer(json, "code"));
        answer.message = internal::text(json, "message");
        if (answer.message.empty())
            answer.message = internal::text(json, "error");
        return answer;
    });
}

} // namespace dragonflysill::gateway
