#pragma once

#include <string>
#include <string_view>
#include <system_error>

namespace dragonflysill {

/** The kinds of errors that the system reports. The message of each kind suggests a remedy. */
enum class ErrorKind {
    InvalidInput = 1, ///< The request or file is malformed.
    ValidationFailed, ///< The ticket is well-formed but fails validation.
    NotFound, ///< The named object does not exist.
    Conflict, ///< Another ticket changed the same object first.
    IdReused, ///< The ticket id was used for a ticket with other content.
    StoreUnavailable, ///< The store was unreachable; nothing was written.
    OutcomeUnknown, ///< The request was sent, but its response was lost.
    StoreRegressed, ///< The store returned an older state than it did before.
    Compacted, ///< The watch's start revision is no longer in the store's history.
    LeaseLost, ///< The caller's lease has expired; its writes are rejected.
    LimitExceeded, ///< A documented size or rate limit was exceeded.
    Corrupt, ///< Received bytes failed verification.
    DeadlineExceeded, ///< The deadline passed before the response arrived.
    Unreachable, ///< No connection could be opened to the peer.
    SettingsInvalid, ///< A flag or environment variable has an unusable value.
};

/** Returns the error category of ErrorKind. */
const std::error_category &errorCategory() noexcept;

/** Makes ErrorKind convertible to std::error_code. */
std::error_code make_error_code(ErrorKind kind) noexcept;

/** An error code with details of this occurrence, for example the name of the object. */
struct Error
{
    std::error_code code;
    std::string detail;

    Error(ErrorKind kind, std::string_view text = {})
        : code(make_error_code(kind))
        , detail(text)
    {
    }

    /** Returns true if the error is of the given kind. */
    [[nodiscard]] bool is(ErrorKind kind) const { return code == make_error_code(kind); }

    /** Returns the detail, if any, followed by the kind's message with the remedy. */
    [[nodiscard]] std::string text() const;
};

/** Returns the fixed identifier of a kind, for example "store-unavailable". */
std::string_view errorName(const std::error_code &ec);

} // namespace dragonflysill

template <>
struct std::is_error_code_enum<dragonflysill::ErrorKind> : std::true_type
{
};
