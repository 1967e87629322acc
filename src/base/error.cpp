#include "dragonflysill/base/error.h"

#include <array>

namespace dragonflysill {

namespace internal {

struct KindText
{
    ErrorKind kind;
    std::string_view name;
    std::string_view message;
};

constexpr std::array kindTexts{
        KindText{ErrorKind::InvalidInput, "invalid-input",
                 "the input is malformed; correct it as the detail says and send it again"},
        KindText{ErrorKind::ValidationFailed, "validation-failed",
                 "the ticket was refused and nothing was written; correct the listed problems"},
        KindText{ErrorKind::NotFound, "not-found",
                 "the object does not exist; list the existing ones with the command line"},
        KindText{ErrorKind::Conflict, "conflict",
                 "another ticket changed the object first; read that ticket, set base to its "
                 "number and apply again"},
        KindText{ErrorKind::IdReused, "id-reused",
                 "the id belongs to a ticket with other content; choose a new id"},
        KindText{ErrorKind::StoreUnavailable, "store-unavailable",
                 "the store was not reached and nothing was written; check the store and repeat"},
        KindText{ErrorKind::OutcomeUnknown, "outcome-unknown",
                 "the answer was lost and the write may have happened; repeat the same request, "
                 "which changes nothing if it was accepted"},
        KindText{ErrorKind::StoreRegressed, "store-regressed",
                 "the store returned an older state than was seen before and is not followed; "
                 "restore the store or restart all control processes to accept its state"},
        KindText{ErrorKind::Compacted, "compacted",
                 "the watch start is no longer in the store's history; read the full state"},
        KindText{ErrorKind::LeaseLost, "lease-lost",
                 "the lease expired and the write was refused; register again"},
        KindText{ErrorKind::LimitExceeded, "limit-exceeded",
                 "a documented limit was exceeded; make the request smaller or send it later"},
        KindText{ErrorKind::Corrupt, "corrupt",
                 "the received bytes failed verification and were dropped; check the versions of "
                 "both ends"},
        KindText{ErrorKind::DeadlineExceeded, "deadline-exceeded",
                 "the deadline passed; check the load of the pool or lengthen the deadline"},
        KindText{ErrorKind::Unreachable, "unreachable",
                 "no connection could be opened; check the address and that the process runs"},
        KindText{ErrorKind::SettingsInvalid, "settings-invalid",
                 "a setting is unusable; correct it, see --help for units and defaults"},
};

const KindText *findKind(int value)
{
    for (const auto &it : kindTexts) {
        if (static_cast<int>(it.kind) == value)
            return &it;
    }
    return nullptr;
}

class ErrorCategory final : public std::error_category
{
public:
    [[nodiscard]] const char *name() const noexcept override { return "dragonflysill"; }

    [[nodiscard]] std::string message(int value) const override
    {
        const KindText *found = findKind(value);
        return found ? std::string(found->message) : "unknown error " + std::to_string(value);
    }
};

} // namespace internal

const std::error_category &errorCategory() noexcept
{
    static const internal::ErrorCategory category;
    return category;
}

std::error_code make_error_code(ErrorKind kind) noexcept
{
    return {static_cast<int>(kind), errorCategory()};
}

std::string Error::text() const
{
    if (detail.empty())
        return code.message();
    return detail + ": " + code.message();
}

std::string_view errorName(const std::error_code &ec)
{
    const internal::KindText *found = internal::findKind(ec.value());
    return found ? found->name : "unknown";
}

} // namespace dragonflysill
