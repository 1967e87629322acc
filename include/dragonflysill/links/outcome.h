#pragma once

#include <string_view>

namespace dragonflysill {

/** What a caller is told about the execution of its request. */
enum class Outcome {
    Answered, ///< The response of a backend server is complete.
    NotRun, ///< No backend server started the request.
    Unknown, ///< A backend server may have run the request.
};

/** Why the entry process itself made the response. */
enum class Failure {
    BadRequest, ///< The HTTP message is malformed.
    TooLarge, ///< The HTTP message exceeds a documented size.
    NoRoute, ///< No path prefix matches.
    NotReady, ///< No view was installed yet.
    Shed, ///< The queue is full or the expected wait exceeds the deadline.
    NoBackend, ///< No backend server of the pool accepts work.
    Refused, ///< Every attempted backend server refused before starting.
    QueueDeadline, ///< The deadline passed before a byte was sent.
    ResponseDeadline, ///< The deadline passed after a byte was sent.
    ConnectionLost, ///< The connection failed after a byte was sent.
    DuplicateKey, ///< Another request holds the idempotency key.
    ClaimUnavailable, ///< The claim could not be written, so the request was not sent.
};

/** The response that belongs to a failure. */
struct FailureResponse
{
    int status = 500;
    Outcome outcome = Outcome::Unknown;
    bool retryAfter = false; ///< True if the caller can repeat the request later.
    std::string_view text; ///< One sentence with the corrective action.
};

/** Returns the documented response for a failure. */
FailureResponse describe(Failure failure);

/** Returns the value of the Dragonflysill-Outcome header, for example "not-run". */
std::string_view toText(Outcome outcome);

/** Returns the fixed identifier of a failure, for metrics. */
std::string_view toText(Failure failure);

} // namespace dragonflysill
