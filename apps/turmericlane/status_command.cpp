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

/** Returns the status object of one instance with its `address`, and with
    `error` if the request failed. */
nlohmann::json read_status(const instance_response& response)
{
    nlohmann::json status = nlohmann::json::object();
    auto error = error_of(response);
    if (!error)
    {
        auto body = parse_body(*response.reply);
        if (body.is_object())
            status = std::move(body);
        else
            error = response.instance + ": the reply is not a JSON object";
    }
    status["address"] = response.instance;
    if (error)
        status["error"] = *error;
    return status;
}

void print_status(const std::vector<nlohmann::json>& statuses)
{
    std::vector<std::string> headings = {"address"};
    headings.insert(headings.end(), status_fields.begin(), status_fields.end());
    table lines(headings);
    std::set<std::string> versions;
    for (const auto& status : statuses)
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
    return "Shows the version in force on every instance, its age and source; "
           "fails if one of them doesn't answer.";
}

int status_command::run(std::span<const char* const> arguments)
{
    auto flags = make_settings();
    fleet_settings fleet(flags);
    std::vector<std::string> no_arguments;
    if (auto code = parse_arguments(flags, arguments, 0, no_arguments))
        return *code;
    std::vector<nlohmann::json> statuses;
    auto code = exit_ok;
    for (const auto& it : send_to_all(fleet, "/v1/status"))
    {
        statuses.push_back(read_status(it));
        if (!statuses.back().contains("error"))
            continue;
        code = exit_failed;
        report_failure(cell_text(statuses.back()["error"]));
    }
    if (fleet.json.value())
        std::cout << nlohmann::json(statuses).dump() << '\n';
    else
        print_status(statuses);
    return code;
}

} // namespace turmericlane
