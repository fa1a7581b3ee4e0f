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

/** Results of the simulation of one fleet size. */
struct measurement
{
    std::size_t instance_count = 0;
    double in_force_ms = 0.0;
    double platform_reads_per_second = 0.0;
    double bytes_per_instance_second = 0.0;
    double exchange_bytes_per_instance_second = 0.0;
    double memory_kb_per_instance = 0.0;
    double core_percent_per_instance = 0.0;
    bool has_converged = false;
};

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

double cpu_seconds()
{
    timespec cpu_time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &cpu_time);
    return static_cast<double>(cpu_time.tv_sec) +
           static_cast<double>(cpu_time.tv_nsec) * 1e-9;
}

double heap_bytes()
{
    auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/** Publishes a version and returns the time in milliseconds until it is in
    force at all instances; INFINITY if it is not within 15 s. */
double measure_spread(
    fleet& simulated_fleet, std::size_t instance_count, std::uint64_t version)
{
    auto publish_time = simulated_fleet.now();
    simulated_fleet.publish(version);
    simulated_fleet.run_for(std::chrono::seconds(15));
    auto last_time = publish_time;
    for (std::size_t n = 0; n < instance_count; ++n)
    {
        if (simulated_fleet.version(n) != version)
            return INFINITY;
        last_time = std::max(last_time, simulated_fleet.version_time(n));
    }
    return seconds(last_time - publish_time) * 1000.0;
}

/** Replaces processes one after another, each within five seconds. */
void replace_processes(
    fleet& simulated_fleet, std::size_t instance_count, std::size_t count)
{
    for (std::size_t n = 0; n < count; ++n)
    {
        auto index = (n * 7919 + 13) % instance_count;
        simulated_fleet.crash(index);
        simulated_fleet.run_for(std::chrono::seconds(2));
        simulated_fleet.start(index);
        simulated_fleet.read_list(index);
        simulated_fleet.read_platform(index);
        simulated_fleet.run_for(std::chrono::seconds(3));
    }
}

measurement measure(std::size_t instance_count, double changes_per_second)
{
    auto heap_before = heap_bytes();
    fleet_options options;
    options.instance_count = instance_count;
    options.data_centre_count = instance_count <= 8 ? 4 : 29;
    fleet simulated_fleet(options);
    for (std::size_t n = 0; n < instance_count; ++n)
        simulated_fleet.start(n);
    for (std::size_t n = 0; n < instance_count; ++n)
        simulated_fleet.read_list(n);
    simulated_fleet.run_for(std::chrono::seconds(60));

    measurement result;
    result.instance_count = instance_count;
    std::uint64_t version = 0;
    for (int n = 0; n < 4; ++n)
        result.in_force_ms = std::max(
            result.in_force_ms,
            measure_spread(simulated_fleet, instance_count, ++version));

    // Steady operation: changes at the given rate, and process replacements at
    // the target rate of 6,800 a day for 2,400 instances.
    auto counts_before = simulated_fleet.counts();
    auto cpu_before = cpu_seconds();
    auto start_time = simulated_fleet.now();
    auto change_interval = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1.0 / changes_per_second));
    auto replacement_count = (instance_count * 12 + 1199) / 2400;
    replace_processes(simulated_fleet, instance_count, replacement_count);
    while (simulated_fleet.now() - start_time < std::chrono::seconds(120))
    {
        simulated_fleet.publish(++version);
        simulated_fleet.run_for(change_interval);
    }
    auto elapsed_seconds = seconds(simulated_fleet.now() - start_time);
    auto used_cpu = cpu_seconds() - cpu_before;
    auto counts_after = simulated_fleet.counts();
    auto instance_seconds =
        elapsed_seconds * static_cast<double>(instance_count);
    result.platform_reads_per_second =
        static_cast<double>(
            counts_after.platform_reads - counts_before.platform_reads) /
        elapsed_seconds;
    result.bytes_per_instance_second =
        static_cast<double>(counts_after.bytes - counts_before.bytes) /
        instance_seconds;
    result.exchange_bytes_per_instance_second =
        static_cast<double>(
            counts_after.exchange_bytes - counts_before.exchange_bytes) /
        instance_seconds;
    result.core_percent_per_instance = 100.0 * used_cpu / instance_seconds;
    result.memory_kb_per_instance = (heap_bytes() - heap_before) / 1024.0 /
                                    static_cast<double>(instance_count);
    result.has_converged = simulated_fleet.has_converged();
    return result;
}

void print(const measurement& it)
{
    std::printf(
        "{\"nodes\":%zu,\"in_force_ms\":%.1f,"
        "\"platform_reads_per_second\":%.2f,"
        "\"sent_bytes_per_node_second\":%.0f,"
        "\"exchange_bytes_per_node_second\":%.0f,"
        "\"memory_kb_per_node\":%.0f,\"core_percent_per_node\":%.4f,"
        "\"agreed\":%s}\n",
        it.instance_count, it.in_force_ms, it.platform_reads_per_second,
        it.bytes_per_instance_second, it.exchange_bytes_per_instance_second,
        it.memory_kb_per_instance, it.core_percent_per_instance,
        it.has_converged ? "true" : "false");
    std::fflush(stdout);
}

/** Fits y = intercept + slope * x by least squares, where x is the scaled
    number of instances, and prints the line and its largest residual. */
void fit(
    const char* name,
    const char* scale_name,
    std::span<const measurement> measurements,
    double measurement::*value,
    double (*scale)(double))
{
    double count = 0;
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    for (const auto& it : measurements)
    {
        auto x = scale(static_cast<double>(it.instance_count));
        count += 1;
        sum_x += x;
        sum_y += it.*value;
        sum_xx += x * x;
        sum_xy += x * it.*value;
    }
    auto slope =
        (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
    auto intercept = (sum_y - slope * sum_x) / count;
    double largest_residual = 0;
    for (const auto& it : measurements)
    {
        auto x = scale(static_cast<double>(it.instance_count));
        largest_residual = std::max(
            largest_residual, std::abs(it.*value - intercept - slope * x));
    }
    std::printf(
        "{\"fit\":\"%s\",\"against\":\"%s\",\"intercept\":%.4g,"
        "\"slope\":%.4g,\"largest_residual\":%.4g}\n",
        name, scale_name, intercept, slope, largest_residual);
}

double identity(double x)
{
    return x;
}

double log2_of(double x)
{
    return std::log2(x);
}

} // namespace

int main(int count, char** arguments)
{
    std::vector<std::size_t> sizes;
    double changes_per_second = 58000.0 / 86400.0;
    for (int option = 0; (option = getopt(count, arguments, "n:c:")) != -1;)
    {
        if (option == 'n')
            sizes.push_back(std::strtoul(optarg, nullptr, 10));
        else if (option == 'c')
            changes_per_second = std::strtod(optarg, nullptr);
        else
            return 2;
    }
    if (sizes.empty())
        sizes = {8, 100, 400, 2400};
    std::vector<measurement> measurements;
    for (auto instance_count : sizes)
    {
        measurements.push_back(measure(instance_count, changes_per_second));
        print(measurements.back());
    }
    if (measurements.size() < 3)
        return 0;
    fit("in_force_ms", "log2(nodes)", measurements, &measurement::in_force_ms,
        log2_of);
    fit("platform_reads_per_second", "nodes", measurements,
        &measurement::platform_reads_per_second, identity);
    fit("sent_bytes_per_node_second", "nodes", measurements,
        &measurement::bytes_per_instance_second, identity);
    fit("memory_kb_per_node", "nodes", measurements,
        &measurement::memory_kb_per_instance, identity);
    fit("core_percent_per_node", "nodes", measurements,
        &measurement::core_percent_per_instance, identity);
    return 0;
}
