#pragma once

#include "exit_code.h"

#include <turmericlane_core/turmericlane_core.h>
#include <turmericlane_settings/turmericlane_settings.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmericlane
{

/** One subcommand of the client.

    @see make_commands
*/
class command
{
public:
    virtual ~command() = default;

    /** Returns the words that select the command, such as `bundle check`. */
    virtual std::string_view name() const noexcept = 0;

    /** Returns the flags and arguments that follow the name, for the help. */
    virtual std::string_view usage() const noexcept = 0;

    /** Returns one line that says what the command does. */
    virtual std::string_view summary() const noexcept = 0;

    /** Runs the command.
        @param arguments  the command line after the name of the command
        @returns an exit_code */
    virtual int run(std::span<const char* const> arguments) = 0;

protected:
    /** Returns settings for this command in which no flag is declared yet. */
    settings make_settings() const;

    /** Parses the flags and exactly `argument_count` arguments. Prints the help
        if it is asked for, or the first error.
        @param arguments  receives the arguments that are not flags
        @returns the exit code if the command ends here, otherwise nothing */
    static std::optional<int> parse_arguments(
        settings& flags,
        std::span<const char* const> command_line,
        std::size_t argument_count,
        std::vector<std::string>& arguments);
};

/** Prints one line to standard error.
    @returns exit_failed */
int report_failure(std::string_view text);

/** Returns the contents of a file, or an error with its path.
    @param max_bytes  size above which a file is rejected */
result<std::string> read_file(const std::string& path, std::size_t max_bytes);

} // namespace turmericlane
