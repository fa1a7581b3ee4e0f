#include "counters_command.h"

#include "fleet.h"
#include "table.h"

#include <iostream>
#include <map>
#include <sstream>

namespace turmericlane
{

namespace
{

/** Series and values of Prometheus text whose names start with a prefix. */
std::map<std::string, std::string>
read_counters(const std::string& text, const std::string& prefix)
{
    std::map<std::string, std::string> series;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
    {
        if (line.starts_with('#') || !line.starts_with(prefix))
            continue;
        // Label values may hold spaces, values don't.
        auto brace = line.rfind('}');
        auto space = line.find(' ', brace == std::string::npos ? 0 : brace);
        if (space != std::string::npos)
            series[line.substr(0, space)] = line.substr(space + 1);
    }
    return series;
}

} // namespace

std::string_view counters_command::name() const noexcept
{
    return "counters";
}

std::string_view counters_command::usage() const noexcept
{
    return "--instances=IP:PORT,... [--prefix=NAME] [--json]";
}

std::string_view counters_command::summary() const noexcept
{
    return "Shows the metrics of every instance; fails if one of them doesn't "
           "answer.";
}

int counters_command::run(std::span<const char* const> arguments)
{
    auto declared = make_settings();
    fleet_settings fleet(declared);
    auto& prefix = declared.add<text_setting>(
        {"prefix", "Show only series whose names start with this."}, "text",
        200);
    std::vector<std::string> none;
    if (auto code = read_usage(declared, arguments, 0, none))
        return *code;
    auto code = exit_ok;
    auto by_instance = nlohmann::json::object();
    std::vector<std::string> headings = {"series"};
    std::map<std::string, std::map<std::string, std::string>> by_series;
    for (const auto& it : ask_all(fleet, "/metrics"))
    {
        if (auto error = error_of(it))
        {
            code = exit_failed;
            fail(*error);
            continue;
        }
        headings.push_back(it.instance);
        auto series = read_counters(it.reply->body, prefix.value());
        by_instance[it.instance] = series;
        for (const auto& [name, value] : series)
            by_series[name][it.instance] = value;
    }
    if (fleet.json.value())
    {
        std::cout << by_instance.dump() << '\n';
        return code;
    }
    table lines(headings);
    for (auto& [name, values] : by_series)
    {
        std::vector<std::string> cells = {cell_text(name)};
        for (std::size_t n = 1; n < headings.size(); ++n)
            cells.push_back(cell_text(values[headings[n]]));
        lines.add(std::move(cells));
    }
    lines.write(std::cout);
    return code;
}

} // namespace turmericlane
