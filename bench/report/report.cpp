#include "report.h"

#include <nlohmann/json.hpp>

#include <iomanip>

namespace turmericlane::bench
{
namespace
{

constexpr std::array<int, 13> widths = {10, 17, 13, 9,  8, 9, 8,
                                        9,  9,  9,  10, 8, 12};

void print_cells(
    std::ostream& to, const std::array<std::string, widths.size()>& cells)
{
    for (std::size_t it = 0; it < cells.size(); ++it)
    {
        to << (it < 4 ? std::left : std::right);
        to << std::setw(widths[it]) << cells[it];
    }
    to << '\n';
}

std::string fixed(double value, int digits)
{
    std::ostringstream made;
    made << std::fixed << std::setprecision(digits) << value;
    return made.str();
}

} // namespace

void print_json(std::ostream& to, const run_result& result)
{
    for (auto it : all_ranks)
    {
        const auto& one = result.ranks[index_of(it)];
        nlohmann::ordered_json line;
        line["deployment"] = result.deployment;
        line["scenario"] = result.scenario;
        line["variant"] = result.variant;
        line["rank"] = to_string(it);
        line["sent"] = one.sent;
        line["answered"] = one.answered;
        line["not_run"] = one.not_run;
        line["may_have_run"] = one.may_have_run;
        line["p50_ms"] = one.p50_ms;
        line["p99_ms"] = one.p99_ms;
        line["coverage"] = one.coverage;
        line["extra_load"] = one.extra_load;
        line["violations"] = result.total_violations;
        to << line.dump() << '\n';
    }
}

void print_table_head(std::ostream& to)
{
    print_cells(
        to, {"deployment", " scenario", "variant", "rank", "sent", "answered",
             "not_run", "may_have", "p50_ms", "p99_ms", "coverage", "extra",
             "violations"});
}

void print_table(std::ostream& to, const run_result& result)
{
    for (auto it : all_ranks)
    {
        const auto& one = result.ranks[index_of(it)];
        print_cells(
            to, {result.deployment, " " + result.scenario, result.variant,
                 std::string(to_string(it)), std::to_string(one.sent),
                 std::to_string(one.answered), std::to_string(one.not_run),
                 std::to_string(one.may_have_run), fixed(one.p50_ms, 1),
                 fixed(one.p99_ms, 1), fixed(one.coverage, 5),
                 fixed(one.extra_load, 4),
                 std::to_string(result.total_violations)});
    }
    if (result.total_violations == 0)
        return;
    to << "  violations:";
    for (std::size_t it = 0; it < violation_count; ++it)
        if (result.violations[it] > 0)
            to << ' ' << to_string(static_cast<violation>(it)) << '='
               << result.violations[it];
    to << '\n';
}

} // namespace turmericlane::bench
