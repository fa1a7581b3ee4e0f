#include "instances_command.h"

#include "fleet.h"
#include "table.h"

#include <iostream>

namespace turmericlane
{

std::string_view instances_command::name() const noexcept
{
    return "instances";
}

std::string_view instances_command::usage() const noexcept
{
    return "--instances=IP:PORT,... [--json]";
}

std::string_view instances_command::summary() const noexcept
{
    return "Shows which instances the first reachable instance tells callers "
           "to use.";
}

int instances_command::run(std::span<const char* const> arguments)
{
    auto flags = make_settings();
    fleet_settings fleet(flags);
    std::vector<std::string> no_arguments;
    if (auto code = parse_arguments(flags, arguments, 0, no_arguments))
        return *code;
    auto response = send_to_first(
        fleet.instances.value(), fleet.timeout.as_duration(), "/v1/instances",
        std::nullopt);
    if (auto error = error_of(response))
        return report_failure(*error);
    auto body = parse_body(*response.reply);
    if (body.is_discarded())
        return report_failure(response.instance + ": the reply is not JSON");
    if (fleet.json.value())
    {
        std::cout << body.dump() << '\n';
        return exit_ok;
    }
    make_table(body.is_object() ? body["instances"] : body).write(std::cout);
    if (body.is_object())
        for (const auto& it : body.items())
            if (it.value().is_primitive())
                std::cout << it.key() << ": " << cell_text(it.value()) << '\n';
    return exit_ok;
}

} // namespace turmericlane
