#include "command.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iostream>

namespace turmericlane
{

settings command::make_settings() const
{
    std::string line = "turmericlane ";
    line += name();
    line += ' ';
    line += usage();
    return {line, std::string(summary())};
}

std::optional<int> command::read_usage(
    settings& declared,
    std::span<const char* const> given,
    std::size_t count,
    std::vector<std::string>& arguments)
{
    auto outcome = declared.parse(given, process_environment(), count);
    if (outcome.state == parse_state::help)
    {
        std::cout << declared.help();
        return exit_ok;
    }
    if (outcome.state == parse_state::ready && outcome.arguments.size() < count)
    {
        outcome.state = parse_state::invalid;
        outcome.error = std::to_string(count) + " arguments are needed, not " +
                        std::to_string(outcome.arguments.size()) +
                        "; see --help";
    }
    if (outcome.state == parse_state::invalid)
    {
        std::cerr << outcome.error << '\n';
        return exit_usage;
    }
    arguments = std::move(outcome.arguments);
    return std::nullopt;
}

int fail(std::string_view text)
{
    std::cerr << text << '\n';
    return exit_failed;
}

result<std::string> read_file(const std::string& path, std::size_t max_bytes)
{
    using made = result<std::string>;
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return made::failure(path + ": " + std::strerror(errno));
    std::string text(max_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad() || file.gcount() == 0)
        return made::failure(path + ": can't be read, or is empty");
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > max_bytes)
        return made::failure(
            path + ": at most " + std::to_string(max_bytes) +
            " bytes are accepted");
    return text;
}

} // namespace turmericlane
