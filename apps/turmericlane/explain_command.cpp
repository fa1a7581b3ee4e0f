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
    return "Explains what happened to a request from the logs of all "
           "instances; fails if no line names it.";
}

int explain_command::run(std::span<const char* const> arguments)
{
    auto flags = make_settings();
    std::vector<std::string> request_ids;
    if (auto code = parse_arguments(flags, arguments, 1, request_ids))
        return *code;
    log_explainer explainer(request_ids.front());
    explainer.read(std::cin);
    if (explainer.line_count() == 0)
    {
        std::cout << explainer.stop_notes();
        return report_failure(
            "no line of the log names request " + request_ids.front());
    }
    std::cout << explainer.text();
    return exit_ok;
}

} // namespace turmericlane
