#include "book_command.h"
#include "bundle_check_command.h"
#include "bundle_diff_command.h"
#include "bundle_keygen_command.h"
#include "bundle_sign_command.h"
#include "bundle_verify_command.h"
#include "counters_command.h"
#include "explain_command.h"
#include "instances_command.h"
#include "search_command.h"
#include "status_command.h"

#include <algorithm>
#include <iostream>
#include <memory>

using namespace turmericlane;

namespace
{

using command_list = std::vector<std::unique_ptr<command>>;

command_list make_commands()
{
    command_list commands;
    commands.push_back(std::make_unique<bundle_check_command>());
    commands.push_back(std::make_unique<bundle_keygen_command>());
    commands.push_back(std::make_unique<bundle_sign_command>());
    commands.push_back(std::make_unique<bundle_verify_command>());
    commands.push_back(std::make_unique<bundle_diff_command>());
    commands.push_back(std::make_unique<status_command>());
    commands.push_back(std::make_unique<instances_command>());
    commands.push_back(std::make_unique<counters_command>());
    commands.push_back(std::make_unique<explain_command>());
    commands.push_back(std::make_unique<search_command>());
    commands.push_back(std::make_unique<book_command>());
    return commands;
}

void print_help(const command_list& commands)
{
    std::cout << "Usage: turmericlane COMMAND [FLAGS] [ARGUMENTS]\n\n"
                 "Command-line client for operators of the query tier.\n\n";
    for (const auto& it : commands)
        std::cout << "  " << it->name() << ' ' << it->usage() << "\n      "
                  << it->summary() << '\n';
    std::cout << "\nturmericlane COMMAND --help lists the flags of a command.\n"
                 "Each flag has an environment variable TURMERICLANE_...; the "
                 "flag takes precedence.\n\n"
                 "Exit codes:\n"
                 "  0  success\n"
                 "  1  refused or failed; a booking did not run\n"
                 "  2  invalid flags, arguments or settings\n"
                 "  3  a booking may have run\n";
}

/** Returns the number of words in the name of a command if the arguments start
    with that name, otherwise 0. */
std::size_t matching_word_count(
    const command& candidate, std::span<const char* const> arguments)
{
    std::string words;
    for (std::size_t n = 0; n < std::min<std::size_t>(2, arguments.size()); ++n)
    {
        words += n == 0 ? "" : " ";
        words += arguments[n];
        if (words == candidate.name())
            return n + 1;
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::span<const char* const> command_line(
        argv, static_cast<std::size_t>(argc));
    auto arguments =
        command_line.subspan(std::min<std::size_t>(1, command_line.size()));
    auto commands = make_commands();
    for (const auto& it : commands)
        if (auto count = matching_word_count(*it, arguments))
            return it->run(arguments.subspan(count));
    auto is_help =
        !arguments.empty() && (std::string_view(arguments[0]) == "--help" ||
                               std::string_view(arguments[0]) == "-h");
    if (is_help)
    {
        print_help(commands);
        return exit_ok;
    }
    std::cerr << "unknown command; see turmericlane --help\n";
    return exit_usage;
}
