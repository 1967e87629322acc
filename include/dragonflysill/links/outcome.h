#pragma once

#include <string_view>

namespace dragonflysill {

/** Whether a request was executed, as reported to the caller. */
enum class Outcome {
    Answered, ///< The response of a backend server is complete.
    NotRun, ///< No backend server started the request.
    Unknown, ///< A backend server may have run the request.
};

/** Why the entry process generated a response instead of a backend server. */
enum class Failure {
    BadRequest, ///< The HTTP message is malformed.
    TooLarge, ///< The HTTP message exceeds a documented size limit.
    NoRoute, ///< No path prefix matches.
    NotReady, ///< No view was installed yet.
    Shed, ///< The queue is full, or the request would miss its deadline.
    NoBackend, ///< No backend server of the pool accepts requests.
    Refused, ///< Every backend server that was tried refused before the start.
    QueueDeadline, ///< The deadline passed before a byte was sent.
    ResponseDeadline, ///< The deadline passed after a byte was sent.
    ConnectionLost, ///< The connection failed after a byte was sent.
    DuplicateKey, ///< Another request holds the idempotency key.
    ClaimUnavailable, ///< The claim could not be written, so the request was not sent.
};

/** Properties of the response for a failure. */
struct FailureResponse
{
    int status = 500;
    Outcome outcome = Outcome::Unknown;
    bool retryAfter = false; ///< True if the response has a Retry-After header.
    std::string_view text; ///< The problem and what the caller can do.
};

/** Returns the documented response for a failure. */
FailureResponse describe(Failure failure);

/** Returns the value of the Dragonflysill-Outcome header, for example "not-run". */
std::string_view toText(Outcome outcome);

/** Returns the fixed identifier of a failure, for metrics. */
std::string_view toText(Failure failure);

} // namespace dragonflysill
