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

/** Returns the series in Prometheus text format whose names start with a
    prefix, each with its value. */
std::map<std::string, std::string>
parse_metrics(const std::string& text, const std::string& prefix)
{
    std::map<std::string, std::string> series;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
    {
        if (line.starts_with('#') || !line.starts_with(prefix))
            continue;
        // The separator is the first space after the labels: label values may
        // contain spaces, the value can't.
        auto brace = line.rfind('}');
        auto separator = line.find(' ', brace == std::string::npos ? 0 : brace);
        if (separator != std::string::npos)
            series[line.substr(0, separator)] = line.substr(separator + 1);
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
    auto flags = make_settings();
    fleet_settings fleet(flags);
    auto& prefix = flags.add<text_setting>(
        {"prefix", "Show only series whose names start with this text."},
        "text", 200);
    std::vector<std::string> no_arguments;
    if (auto code = parse_arguments(flags, arguments, 0, no_arguments))
        return *code;
    auto code = exit_ok;
    auto series_by_instance = nlohmann::json::object();
    std::vector<std::string> headings = {"series"};
    std::map<std::string, std::map<std::string, std::string>> values_by_series;
    for (const auto& it : send_to_all(fleet, "/metrics"))
    {
        if (auto error = error_of(it))
        {
            code = exit_failed;
            report_failure(*error);
            continue;
        }
        headings.push_back(it.instance);
        auto series = parse_metrics(it.reply->body, prefix.value());
        series_by_instance[it.instance] = series;
        for (const auto& [name, value] : series)
            values_by_series[name][it.instance] = value;
    }
    if (fleet.json.value())
    {
        std::cout << series_by_instance.dump() << '\n';
        return code;
    }
    table lines(headings);
    for (auto& [name, values] : values_by_series)
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
