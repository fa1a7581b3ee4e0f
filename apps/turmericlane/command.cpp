#include "command.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iostream>

namespace turmericlane
{

settings command::make_settings() const
{
    std::string usage_line = "turmericlane ";
    usage_line += name();
    usage_line += ' ';
    usage_line += usage();
    return {usage_line, std::string(summary())};
}

std::optional<int> command::parse_arguments(
    settings& flags,
    std::span<const char* const> command_line,
    std::size_t argument_count,
    std::vector<std::string>& arguments)
{
    auto parsed_line =
        flags.parse(command_line, process_environment(), argument_count);
    if (parsed_line.state == parse_state::help)
    {
        std::cout << flags.help();
        return exit_ok;
    }
    if (parsed_line.state == parse_state::ready &&
        parsed_line.arguments.size() < argument_count)
    {
        parsed_line.state = parse_state::invalid;
        parsed_line.error =
            std::to_string(argument_count) + " arguments are needed, not " +
            std::to_string(parsed_line.arguments.size()) + "; see --help";
    }
    if (parsed_line.state == parse_state::invalid)
    {
        std::cerr << parsed_line.error << '\n';
        return exit_usage;
    }
    arguments = std::move(parsed_line.arguments);
    return std::nullopt;
}

int report_failure(std::string_view text)
{
    std::cerr << text << '\n';
    return exit_failed;
}

result<std::string> read_file(const std::string& path, std::size_t max_bytes)
{
    using text_result = result<std::string>;
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return text_result::failure(path + ": " + std::strerror(errno));
    std::string text(max_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad() || file.gcount() == 0)
        return text_result::failure(path + ": can't be read, or is empty");
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > max_bytes)
        return text_result::failure(
            path + ": at most " + std::to_string(max_bytes) +
            " bytes are accepted");
    return text;
}

} // namespace turmericlane
