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

    /** Words that select the command, such as `bundle check`. */
    virtual std::string_view name() const noexcept = 0;

    /** Flags and arguments after the name. */
    virtual std::string_view usage() const noexcept = 0;

    /** What the command does, in one line. */
    virtual std::string_view summary() const noexcept = 0;

    /** Runs the command.
        @param arguments  what follows the name on the command line
        @returns an exit_code */
    virtual int run(std::span<const char* const> arguments) = 0;

protected:
    /** Settings of this command without any declared. */
    settings make_settings() const;

    /** Reads flags and exactly `count` arguments. Prints the help, or the
        error.
        @returns the exit code if the command is to end here */
    static std::optional<int> read_usage(
        settings& declared,
        std::span<const char* const> given,
        std::size_t count,
        std::vector<std::string>& arguments);
};

/** Prints one line to the standard error.
    @returns exit_failed */
int fail(std::string_view text);

/** Contents of a file.
    @param path       the file
    @param max_bytes  longer files are refused */
result<std::string> read_file(const std::string& path, std::size_t max_bytes);

} // namespace turmericlane
