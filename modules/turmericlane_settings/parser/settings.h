#pragma once

#include "../options/setting.h"
#include "environment.h"

#include <memory>
#include <span>
#include <utility>
#include <vector>

namespace turmericlane
{

/** Exit code of a program whose flags or settings are wrong. */
inline constexpr int exit_wrong_settings = 2;

/** How the parsing of settings ended. */
enum class parse_state : std::uint8_t
{
    /** Every setting has its value. */
    ready,
    /** `--help` was given. */
    help,
    /** A flag or a value is wrong. */
    wrong
};

/** Outcome of settings::parse. */
struct parse_outcome
{
    parse_state state = parse_state::ready;
    /** One line that names setting, value and accepted range; empty unless
        wrong. */
    std::string error;
    /** Arguments that are no flags. */
    std::vector<std::string> arguments;
};

/** The settings of a program: declares them, reads them from flags and the
    environment, and writes their help.

    A flag goes before the environment variable of the same name, which goes
    before the default. An empty variable counts as not set.

    @code
    settings declared("turmericlaned [FLAGS]", "Query tier instance.");
    auto& port = declared.add<integer_setting>(
        {"peer-port", "TCP port for peers", "port"}, 7000, 1, 65535);
    auto outcome = declared.parse(arguments, process_environment());
    use(port.value());
    @endcode

    One thread uses it at a time; parsing uses the state of getopt_long, which
    the whole process shares.
*/
class settings
{
public:
    /** @param usage    first line of the help: name of the program, flags and
                        arguments
        @param summary  what the program does */
    settings(std::string usage, std::string summary);

    /** Declares a setting. No other may have its name.
        @returns the setting; it lives as long as this object */
    template <class Setting, class... Arguments>
    Setting& add(setting_description description, Arguments&&... arguments)
    {
        auto made = std::make_unique<Setting>(
            std::move(description), std::forward<Arguments>(arguments)...);
        auto& added = *made;
        take(std::move(made));
        return added;
    }

    /** Reads the settings. To be called once.
        @param arguments      arguments without the name of the program
        @param variables      environment
        @param max_arguments  accepted number of arguments that are no flags */
    parse_outcome parse(
        std::span<const char* const> arguments,
        const environment& variables,
        std::size_t max_arguments = 0);

    /** The help of all settings, with variable, default, unit and range. */
    std::string help() const;

    /** `name=value` of each setting, for the log at the start. Secrets are
        hidden. */
    std::vector<std::string> describe() const;

private:
    struct entry
    {
        std::unique_ptr<setting> declared;
        /** For the help, which may be written after parsing. */
        std::string default_text;
        bool given = false;
    };

    void take(std::unique_ptr<setting> added);
    std::string
    read_flags(std::span<const char* const> arguments, parse_outcome& outcome);
    std::string read_flag(entry& into, const char* value);
    std::string read_environment(const environment& variables);
    std::string find_missing() const;

    std::string usage_;
    std::string summary_;
    std::vector<entry> entries_;
};

} // namespace turmericlane
