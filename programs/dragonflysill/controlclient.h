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

/** Time limits of a ControlClient. */
struct ControlClientLimits
{
    std::chrono::milliseconds connect{2000};
    /** Longer than a control process tries to settle a lost store answer. */
    std::chrono::milliseconds read{30'000};
};

/** The answer of a control process, or the error in the same form if there was none. */
struct ControlAnswer
{
    nlohmann::json document; ///< Has an "error" object with "kind" and "message" on failure.

    /** Returns the kind of the error; empty if there is none. */
    [[nodiscard]] std::string errorKind() const;
};

/**
 * Calls the operators' interface of the first control process that can answer. A ticket is sent to
 * the next one only with the same id, so that it is accepted once at most; after a lost answer only
 * an acceptance ends the uncertainty.
 */
class ControlClient
{
public:
    explicit ControlClient(std::vector<Endpoint> endpoints, ControlClientLimits limits = {});

    /** Parses "IP:PORT,IP:PORT..."; SettingsInvalid if an element has another form. */
    static Result<std::vector<Endpoint>> parseEndpoints(std::string_view text);

    /** Reads a document. */
    [[nodiscard]] ControlAnswer get(const std::string &path) const;

    /** Has a ticket validated, which changes nothing. */
    [[nodiscard]] ControlAnswer validate(const std::string &ticket) const;

    /** Applies a ticket. */
    [[nodiscard]] ControlAnswer apply(const std::string &ticket) const;

    /** Returns the body of a GET at one address, or nothing without a good answer. */
    [[nodiscard]] std::optional<std::string> fetch(const std::string &address,
                                                   const std::string &path) const;

private:
    std::vector<Endpoint> m_endpoints;
    ControlClientLimits m_limits;
};

/** Returns an error in the form of the operators' interface. */
nlohmann::json errorDocument(const Error &error);

} // namespace dragonflysill
