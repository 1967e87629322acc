#pragma once

#include <CLI/CLI.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflysill {

/**
 * Parses the settings of a program. Every setting is a flag and an environment variable, such as
 * "--listen" and DRAGONFLYSILL_LISTEN; the flag takes precedence. Adds the flags --version and
 * --check-settings, which validates the settings and prints the effective values.
 */
class Settings
{
public:
    /** Exit code of every program whose command line or environment is unusable. */
    static constexpr int exitUsage = 2;

    /**
     * @param program the program's name
     * @param description one sentence for --help
     * @param version the program's version
     */
    Settings(std::string program, const std::string &description, const std::string &version);

    /**
     * Adds a setting whose default is the variable's current value.
     * @param name the flag without dashes, for example "listen"
     * @param variable receives the value; must outlive parse()
     * @param help description for --help, with the unit
     * @return the CLI11 option, for further checks
     */
    template <typename T>
    CLI::Option *add(std::string_view name, T &variable, const std::string &help)
    {
        CLI::Option *option = m_app->add_option("--" + std::string(name), variable, help);
        option->capture_default_str()->envname(environmentName(name));
        m_options.emplace_back(std::string(name), option);
        return option;
    }

    /** Adds a setting that holds an IP address and port; an empty value is accepted. */
    CLI::Option *addAddress(std::string_view name, std::string &variable, const std::string &help);

    /**
     * Parses the command line and the environment.
     * @return nothing if the program should run, otherwise the exit code with which it must end:
     * 0 after --help, --version and --check-settings, or exitUsage
     */
    std::optional<int> parse(int argc, const char *const *argv);

    /** Returns the CLI11 application, for adding subcommands. */
    CLI::App &app() { return *m_app; }

    /** Returns the name of the environment variable of a flag. */
    static std::string environmentName(std::string_view name);

private:
    void printEffectiveSettings() const;

    std::unique_ptr<CLI::App> m_app;
    std::vector<std::pair<std::string, CLI::Option *>> m_options;
    bool m_checkOnly = false;
};

/** An IP address and port in text form, for example "127.0.0.1:8080". */
struct Endpoint
{
    std::string host;
    int port = 0;

    /** Parses "IP:PORT"; returns nothing if the text is malformed. */
    static std::optional<Endpoint> parse(std::string_view text);
};

} // namespace dragonflysill
