#include "status_command.h"

#include "fleet.h"
#include "table.h"

#include <array>
#include <iostream>
#include <set>

namespace turmericlane
{

namespace
{

constexpr std::array<const char*, 8> status_fields = {
    "instance", "ordinal",        "data_centre",    "state",
    "version",  "version_age_ms", "version_source", "version_confirmed"};

/** The status object of one instance, with `address` and perhaps `error`. */
nlohmann::json read_status(const fleet_reply& from)
{
    nlohmann::json status = nlohmann::json::object();
    auto error = error_of(from);
    if (!error)
    {
        auto body = parse_body(*from.reply);
        if (body.is_object())
            status = std::move(body);
        else
            error = from.instance + ": the reply is no JSON object";
    }
    status["address"] = from.instance;
    if (error)
        status["error"] = *error;
    return status;
}

void print_status(const std::vector<nlohmann::json>& all)
{
    std::vector<std::string> headings = {"address"};
    headings.insert(headings.end(), status_fields.begin(), status_fields.end());
    table lines(headings);
    std::set<std::string> versions;
    for (const auto& status : all)
    {
        std::vector<std::string> cells;
        cells.reserve(headings.size());
        for (const auto& it : headings)
            cells.push_back(cell_text(status.value(it, nlohmann::json())));
        lines.add(std::move(cells));
        if (status.contains("version"))
            versions.insert(cell_text(status["version"]));
    }
    lines.write(std::cout);
    if (versions.size() > 1)
        std::cout << versions.size() << " different versions are in force\n";
}

} // namespace

std::string_view status_command::name() const noexcept
{
    return "status";
}

std::string_view status_command::usage() const noexcept
{
    return "--instances=IP:PORT,... [--json]";
}

std::string_view status_command::summary() const noexcept
{
    return "Shows the version in force, its age and source on every instance; "
           "fails if one of them doesn't answer.";
}

int status_command::run(std::span<const char* const> arguments)
{
    auto declared = make_settings();
    fleet_settings fleet(declared);
    std::vector<std::string> none;
    if (auto code = read_usage(declared, arguments, 0, none))
        return *code;
    std::vector<nlohmann::json> all;
    auto code = exit_ok;
    for (const auto& it : ask_all(fleet, "/v1/status"))
    {
        all.push_back(read_status(it));
        if (!all.back().contains("error"))
            continue;
        code = exit_failed;
        fail(cell_text(all.back()["error"]));
    }
    if (fleet.json.value())
        std::cout << nlohmann::json(all).dump() << '\n';
    else
        print_status(all);
    return code;
}

} // namespace turmericlane
