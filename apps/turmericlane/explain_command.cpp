#include "explain_command.h"

#include "log_explainer.h"

#include <iostream>

namespace turmericlane
{

std::string_view explain_command::name() const noexcept
{
    return "explain";
}

std::string_view explain_command::usage() const noexcept
{
    return "REQUEST-ID < LOG";
}

std::string_view explain_command::summary() const noexcept
{
    return "Says what happened to a request, from the logs of all gateways; "
           "fails if no line names it.";
}

int explain_command::run(std::span<const char* const> arguments)
{
    auto declared = make_settings();
    std::vector<std::string> given;
    if (auto code = read_usage(declared, arguments, 1, given))
        return *code;
    log_explainer explainer(given.front());
    explainer.read(std::cin);
    if (explainer.size() == 0)
        return fail("no line of the log names the request " + given.front());
    std::cout << explainer.text();
    return exit_ok;
}

} // namespace turmericlane
