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
    return "Shows which instances callers are told to use, as the first "
           "reachable instance sees it.";
}

int instances_command::run(std::span<const char* const> arguments)
{
    auto declared = make_settings();
    fleet_settings fleet(declared);
    std::vector<std::string> none;
    if (auto code = read_usage(declared, arguments, 0, none))
        return *code;
    auto got = ask_first(
        fleet.instances.value(), fleet.timeout.as_duration(), "/v1/instances",
        std::nullopt);
    if (auto error = error_of(got))
        return fail(*error);
    auto body = parse_body(*got.reply);
    if (body.is_discarded())
        return fail(got.instance + ": the reply is no JSON");
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
