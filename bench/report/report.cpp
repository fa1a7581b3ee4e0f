#include "report.h"

#include <nlohmann/json.hpp>

#include <iomanip>

namespace turmericlane::bench
{
namespace
{

constexpr std::array<int, 13> column_widths = {10, 17, 13, 9,  8, 9, 8,
                                               9,  9,  9,  10, 8, 12};

void print_cells(
    std::ostream& output,
    const std::array<std::string, column_widths.size()>& cells)
{
    for (std::size_t it = 0; it < cells.size(); ++it)
    {
        output << (it < 4 ? std::left : std::right);
        output << std::setw(column_widths[it]) << cells[it];
    }
    output << '\n';
}

std::string format_fixed(double value, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

} // namespace

void print_json(std::ostream& output, const run_result& result)
{
    for (auto printed_rank : all_ranks)
    {
        const auto& figures = result.ranks[index_of(printed_rank)];
        nlohmann::ordered_json line;
        line["deployment"] = result.deployment;
        line["scenario"] = result.scenario;
        line["variant"] = result.variant;
        line["rank"] = to_string(printed_rank);
        line["sent"] = figures.sent;
        line["answered"] = figures.answered;
        line["not_run"] = figures.not_run;
        line["may_have_run"] = figures.may_have_run;
        line["p50_ms"] = figures.p50_ms;
        line["p99_ms"] = figures.p99_ms;
        line["coverage"] = figures.coverage;
        line["extra_load"] = figures.extra_load;
        line["violations"] = result.total_violations;
        output << line.dump() << '\n';
    }
}

void print_table_header(std::ostream& output)
{
    print_cells(
        output, {"deployment", " scenario", "variant", "rank", "sent",
                 "answered", "not_run", "may_have", "p50_ms", "p99_ms",
                 "coverage", "extra", "violations"});
}

void print_table(std::ostream& output, const run_result& result)
{
    for (auto printed_rank : all_ranks)
    {
        const auto& figures = result.ranks[index_of(printed_rank)];
        print_cells(
            output,
            {result.deployment, " " + result.scenario, result.variant,
             std::string(to_string(printed_rank)), std::to_string(figures.sent),
             std::to_string(figures.answered), std::to_string(figures.not_run),
             std::to_string(figures.may_have_run),
             format_fixed(figures.p50_ms, 1), format_fixed(figures.p99_ms, 1),
             format_fixed(figures.coverage, 5),
             format_fixed(figures.extra_load, 4),
             std::to_string(result.total_violations)});
    }
    if (result.total_violations == 0)
        return;
    output << "  violations:";
    for (std::size_t it = 0; it < violation_count; ++it)
        if (result.violations[it] > 0)
            output << ' ' << to_string(static_cast<violation>(it)) << '='
                   << result.violations[it];
    output << '\n';
}

} // namespace turmericlane::bench
