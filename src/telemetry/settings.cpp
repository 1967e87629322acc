#include "dragonflysill/telemetry/settings.h"

#include <arpa/inet.h>

#include <cctype>
#include <charconv>
#include <iostream>
#include <utility>

namespace dragonflysill {

Settings::Settings(std::string program, const std::string &description, const std::string &version)
    : m_app(std::make_unique<CLI::App>(description, std::move(program)))
{
    m_app->set_version_flag("--version", version);
    m_app->add_flag("--check-settings", m_checkOnly,
                    "Validate the settings, print the effective values and exit");
}

CLI::Option *Settings::addAddress(std::string_view name, std::string &variable,
                                  const std::string &help)
{
    CLI::Option *option = add(name, variable, help + " (IP:PORT)");
    option->check([](const std::string &text) {
        if (text.empty() || Endpoint::parse(text))
            return std::string();
        return "'" + text + "' is not IP:PORT, for example 127.0.0.1:8080";
    });
    return option;
}

std::optional<int> Settings::parse(int argc, const char *const *argv)
{
    try {
        m_app->parse(argc, argv);
    } catch (const CLI::ParseError &e) {
        // Prints help, version or the error; CLI11's own codes for errors differ by their cause.
        return m_app->exit(e) == 0 ? 0 : Settings::exitUsage;
    }
    if (!m_checkOnly)
        return std::nullopt;
    printEffectiveSettings();
    return 0;
}

std::string Settings::environmentName(std::string_view name)
{
    std::string text = "DRAGONFLYSILL_";
    for (const char ch : name)
        text += ch == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(ch)));
    return text;
}

void Settings::printEffectiveSettings() const
{
    for (const auto &[name, option] : m_options) {
        const std::string value
                = option->count() > 0 ? option->as<std::string>() : option->get_default_str();
        std::cout << name << " = " << value << '\n';
    }
}

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    Endpoint endpoint{std::string(text.substr(0, colon)), 0};
    in_addr address{};
    if (inet_pton(AF_INET, endpoint.host.c_str(), &address) != 1)
        return std::nullopt;
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, ec]
            = std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
    constexpr int maxPort = 65535;
    if (ec != std::errc() || end != digits.data() + digits.size() || endpoint.port < 0
        || endpoint.port > maxPort)
        return std::nullopt;
    return endpoint;
}

} // namespace dragonflysill
