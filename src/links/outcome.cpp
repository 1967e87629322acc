#include "dragonflysill/links/outcome.h"

namespace dragonflysill {

FailureResponse describe(Failure failure)
{
    switch (failure) {
    case Failure::BadRequest:
        return {400, Outcome::NotRun, false, "malformed request; correct the HTTP message"};
    case Failure::TooLarge:
        return {413, Outcome::NotRun, false, "request too large; send a smaller one"};
    case Failure::NoRoute:
        return {404, Outcome::NotRun, false, "no route; declare a service with this path prefix"};
    case Failure::NotReady:
        return {503, Outcome::NotRun, true, "no configuration received yet; retry later"};
    case Failure::Shed:
        return {503, Outcome::NotRun, true, "service overloaded; retry later"};
    case Failure::NoBackend:
        return {503, Outcome::NotRun, true, "no backend server accepts work; retry later"};
    case Failure::Refused:
        return {503, Outcome::NotRun, true, "backend servers refused the request; retry later"};
    case Failure::QueueDeadline:
        return {504, Outcome::NotRun, false, "deadline passed in the queue; retry if still needed"};
    case Failure::ResponseDeadline:
        return {504, Outcome::Unknown, false, "deadline passed; check whether the request ran"};
    case Failure::ConnectionLost:
        return {502, Outcome::Unknown, false, "connection lost; check whether the request ran"};
    case Failure::DuplicateKey:
        return {409, Outcome::Unknown, false, "idempotency key in use; check the first request"};
    case Failure::ClaimUnavailable:
        return {503, Outcome::NotRun, true, "claim not written; retry with the same key"};
    }
    return {};
}

std::string_view toText(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view toText(Failure failure)
{
    switch (failure) {
    case Failure::BadRequest:
        return "bad-request";
    case Failure::TooLarge:
        return "too-large";
    case Failure::NoRoute:
        return "no-route";
    case Failure::NotReady:
        return "not-ready";
    case Failure::Shed:
        return "shed";
    case Failure::NoBackend:
        return "no-backend";
    case Failure::Refused:
        return "refused";
    case Failure::QueueDeadline:
        return "queue-deadline";
    case Failure::ResponseDeadline:
        return "response-deadline";
    case Failure::ConnectionLost:
        return "connection-lost";
    case Failure::DuplicateKey:
        return "duplicate-key";
    case Failure::ClaimUnavailable:
        return "claim-unavailable";
    }
    return "unknown";
}

} // namespace dragonflysill
