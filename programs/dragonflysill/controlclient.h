#pragma once

#include "dragonflysill/base/result.h"
#include "dragonflysill/telemetry/settings.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/** Timeouts of a ControlClient. */
struct ControlClientTimeouts
{
    std::chrono::milliseconds connect{2000};
    /** Exceeds the time in which a control process resolves a store call whose answer was lost. */
    std::chrono::milliseconds read{30'000};
};

/** The answer of a control process, or an error in the same format if there was none. */
struct ControlAnswer
{
    nlohmann::json document; ///< Has an "error" object with "kind" and "message" on failure.

    /** Returns the kind of the error; empty if there is none. */
    [[nodiscard]] std::string errorKind() const;
};

/**
 * Calls the operators' interface of the first control process that can answer. A ticket keeps its
 * id when it is sent to the next process, so that it is accepted at most once. After a lost answer
 * the outcome is unknown unless a later process reports that the ticket is accepted.
 */
class ControlClient
{
public:
    explicit ControlClient(std::vector<Endpoint> endpoints, ControlClientTimeouts timeouts = {});

    /** Parses "IP:PORT,IP:PORT..."; SettingsInvalid if an element has another format. */
    static Result<std::vector<Endpoint>> parseEndpoints(std::string_view text);

    /** Returns the document at a path. */
    [[nodiscard]] ControlAnswer get(const std::string &path) const;

    /** Validates a ticket without applying it. */
    [[nodiscard]] ControlAnswer validate(const std::string &ticket) const;

    /** Applies a ticket; the error is OutcomeUnknown if it may or may not have been accepted. */
    [[nodiscard]] ControlAnswer apply(const std::string &ticket) const;

    /** Sends a GET to one address; returns the body, or std::nullopt without a 200. */
    [[nodiscard]] std::optional<std::string> fetch(const std::string &address,
                                                   const std::string &path) const;

private:
    std::vector<Endpoint> m_endpoints;
    ControlClientTimeouts m_timeouts;
};

/** Returns an error in the format of the operators' interface. */
nlohmann::json errorDocument(const Error &error);

} // namespace dragonflysill
