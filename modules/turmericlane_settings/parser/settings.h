#pragma once

#include "../options/setting.h"
#include "environment.h"

#include <memory>
#include <span>
#include <utility>
#include <vector>

namespace turmericlane
{

/** Exit code of a program whose flags or settings are invalid. */
inline constexpr int exit_invalid_settings = 2;

/** State of a program's settings after parsing. */
enum class parse_state : std::uint8_t
{
    /** Every setting has its value. */
    ready,
    /** `--help` was given. */
    help,
    /** A flag or a value is invalid. */
    invalid
};

/** What settings::parse returns. */
struct parse_outcome
{
    parse_state state = parse_state::ready;
    /** One line that names the setting, its value and the accepted range; empty
        unless the state is invalid. */
    std::string error;
    /** Arguments that are not flags. */
    std::vector<std::string> arguments;
};

/** The settings of a program: registers them, reads them from flags and the
    environment, and writes their help text.

    A flag takes precedence over the environment variable of the same setting,
    and the variable over the default. An empty variable counts as not set.

    @code
    settings program_settings("turmericlaned [FLAGS]", "Query tier instance.");
    auto& port = program_settings.add<integer_setting>(
        {"peer-port", "TCP port for peers", "port"}, 7000, 1, 65535);
    auto outcome = program_settings.parse(arguments, process_environment());
    use(port.value());
    @endcode

    Only one thread may use it at a time. Parsing uses the global state of
    getopt_long, which the whole process shares.
*/
class settings
{
public:
    /** @param usage  first line of the help: name of the program, flags and
            arguments
        @param summary  what the program does */
    settings(std::string usage, std::string summary);

    /** Registers a setting. Its name must be unique.
        @returns the setting, which lives as long as this object */
    template <class Setting, class... Arguments>
    Setting& add(setting_description description, Arguments&&... arguments)
    {
        auto new_setting = std::make_unique<Setting>(
            std::move(description), std::forward<Arguments>(arguments)...);
        auto& result = *new_setting;
        register_setting(std::move(new_setting));
        return result;
    }

    /** Reads the values of all settings. It may be called once.
        @param arguments  arguments without the name of the program
        @param variables  environment variables
        @param max_arguments  accepted number of arguments that are not flags */
    parse_outcome parse(
        std::span<const char* const> arguments,
        const environment& variables,
        std::size_t max_arguments = 0);

    /** Returns the help text of all settings, with variable, default, unit and
        accepted range. */
    std::string help() const;

    /** Returns `name=value` for each setting. The values of secret settings are
        hidden. */
    std::vector<std::string> describe() const;

private:
    struct registered_setting
    {
        std::unique_ptr<setting> typed_setting;
        /** Kept for the help text, which may be written after parsing. */
        std::string default_text;
        bool is_given = false;
    };

    void register_setting(std::unique_ptr<setting> new_setting);
    std::string
    read_flags(std::span<const char* const> arguments, parse_outcome& outcome);
    std::string read_flag(registered_setting& registration, const char* value);
    std::string read_environment(const environment& variables);
    std::string find_missing_setting() const;

    std::string usage_;
    std::string summary_;
    std::vector<registered_setting> registered_settings_;
};

} // namespace turmericlane
