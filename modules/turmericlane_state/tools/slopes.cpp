#include "fleet.h"

#include <cmath>
#include <cstdio>
#include <ctime>
#include <getopt.h>
#include <malloc.h>

using namespace turmericlane;
using namespace turmericlane::tools;

namespace
{

/** What was measured at one size. */
struct point
{
    std::size_t nodes = 0;
    double in_force_ms = 0.0;
    double platform_reads_per_second = 0.0;
    double bytes_per_node_second = 0.0;
    double exchange_bytes_per_node_second = 0.0;
    double memory_kb_per_node = 0.0;
    double core_percent_per_node = 0.0;
    bool agreed = false;
};

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

double processor_seconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) * 1e-9;
}

double heap_bytes()
{
    auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/** Publishes one version and returns how long the last node took. */
double spread_once(fleet& tested, std::size_t nodes, std::uint64_t version)
{
    auto published = tested.now();
    tested.publish(version);
    tested.run_for(std::chrono::seconds(15));
    auto last = published;
    for (std::size_t n = 0; n < nodes; ++n)
    {
        if (tested.version(n) != version)
            return INFINITY;
        last = std::max(last, tested.version_since(n));
    }
    return seconds(last - published) * 1000.0;
}

/** Replaces processes at the target's rate: 6,800 a day for 2,400 nodes. */
void churn(fleet& tested, std::size_t nodes, std::size_t count)
{
    for (std::size_t n = 0; n < count; ++n)
    {
        auto node = (n * 7919 + 13) % nodes;
        tested.crash(node);
        tested.run_for(std::chrono::seconds(2));
        tested.start(node);
        tested.read_list(node);
        tested.read_platform(node);
        tested.run_for(std::chrono::seconds(3));
    }
}

point measure(std::size_t nodes, double changes_per_second)
{
    auto heap_before = heap_bytes();
    fleet_options options;
    options.nodes = nodes;
    options.data_centres = nodes <= 8 ? 4 : 29;
    fleet tested(options);
    for (std::size_t n = 0; n < nodes; ++n)
        tested.start(n);
    for (std::size_t n = 0; n < nodes; ++n)
        tested.read_list(n);
    tested.run_for(std::chrono::seconds(60));

    point made;
    made.nodes = nodes;
    std::uint64_t version = 0;
    for (int n = 0; n < 4; ++n)
        made.in_force_ms =
            std::max(made.in_force_ms, spread_once(tested, nodes, ++version));

    // The steady part: changes at the given rate, and replacements.
    auto before = tested.counts();
    auto processor_before = processor_seconds();
    auto started = tested.now();
    auto gap = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1.0 / changes_per_second));
    auto replacements = (nodes * 12 + 1199) / 2400;
    churn(tested, nodes, replacements);
    while (tested.now() - started < std::chrono::seconds(120))
    {
        tested.publish(++version);
        tested.run_for(gap);
    }
    auto span = seconds(tested.now() - started);
    auto processor = processor_seconds() - processor_before;
    auto after = tested.counts();
    auto per_node = span * static_cast<double>(nodes);
    made.platform_reads_per_second =
        static_cast<double>(after.platform_reads - before.platform_reads) /
        span;
    made.bytes_per_node_second =
        static_cast<double>(after.bytes - before.bytes) / per_node;
    made.exchange_bytes_per_node_second =
        static_cast<double>(after.exchange_bytes - before.exchange_bytes) /
        per_node;
    made.core_percent_per_node = 100.0 * processor / per_node;
    made.memory_kb_per_node =
        (heap_bytes() - heap_before) / 1024.0 / static_cast<double>(nodes);
    made.agreed = tested.agreed();
    return made;
}

void print(const point& it)
{
    std::printf(
        "{\"nodes\":%zu,\"in_force_ms\":%.1f,"
        "\"platform_reads_per_second\":%.2f,"
        "\"sent_bytes_per_node_second\":%.0f,"
        "\"exchange_bytes_per_node_second\":%.0f,"
        "\"memory_kb_per_node\":%.0f,\"core_percent_per_node\":%.4f,"
        "\"agreed\":%s}\n",
        it.nodes, it.in_force_ms, it.platform_reads_per_second,
        it.bytes_per_node_second, it.exchange_bytes_per_node_second,
        it.memory_kb_per_node, it.core_percent_per_node,
        it.agreed ? "true" : "false");
    std::fflush(stdout);
}

/** Least squares of y = a + b x, with the largest residual. */
void fit(
    const char* name,
    const char* against,
    std::span<const point> points,
    double point::*measured,
    double (*scale)(double))
{
    double n = 0;
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (const auto& it : points)
    {
        auto x = scale(static_cast<double>(it.nodes));
        n += 1;
        sx += x;
        sy += it.*measured;
        sxx += x * x;
        sxy += x * it.*measured;
    }
    auto slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    auto start = (sy - slope * sx) / n;
    double residual = 0;
    for (const auto& it : points)
    {
        auto x = scale(static_cast<double>(it.nodes));
        residual =
            std::max(residual, std::abs(it.*measured - start - slope * x));
    }
    std::printf(
        "{\"fit\":\"%s\",\"against\":\"%s\",\"intercept\":%.4g,"
        "\"slope\":%.4g,\"largest_residual\":%.4g}\n",
        name, against, start, slope, residual);
}

double linear(double x)
{
    return x;
}

double logarithm(double x)
{
    return std::log2(x);
}

} // namespace

int main(int count, char** arguments)
{
    std::vector<std::size_t> sizes;
    double changes_per_second = 58000.0 / 86400.0;
    for (int it = 0; (it = getopt(count, arguments, "n:c:")) != -1;)
    {
        if (it == 'n')
            sizes.push_back(std::strtoul(optarg, nullptr, 10));
        else if (it == 'c')
            changes_per_second = std::strtod(optarg, nullptr);
        else
            return 2;
    }
    if (sizes.empty())
        sizes = {8, 100, 400, 2400};
    std::vector<point> points;
    for (auto nodes : sizes)
    {
        points.push_back(measure(nodes, changes_per_second));
        print(points.back());
    }
    if (points.size() < 3)
        return 0;
    fit("in_force_ms", "log2(nodes)", points, &point::in_force_ms, logarithm);
    fit("platform_reads_per_second", "nodes", points,
        &point::platform_reads_per_second, linear);
    fit("sent_bytes_per_node_second", "nodes", points,
        &point::bytes_per_node_second, linear);
    fit("memory_kb_per_node", "nodes", points, &point::memory_kb_per_node,
        linear);
    fit("core_percent_per_node", "nodes", points, &point::core_percent_per_node,
        linear);
    return 0;
}
