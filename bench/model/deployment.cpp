#include "deployment.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace turmericlane::bench
{
namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

struct service_size
{
    const char* name;
    std::uint32_t groups;
    std::uint32_t replicas;
    std::uint32_t slots;
    std::uint32_t connections;
    microseconds connect_cost;
};

constexpr std::uint32_t searchers_per_service = 100;
// Share of the slots of the busiest service that the steady load uses.
constexpr double steady_utilisation = 0.6;
constexpr std::array<double, rank_count> rank_mix = {2.0, 5.0, 3.0};

searcher make_searcher(
    std::uint32_t service, std::uint32_t partition, std::uint32_t replica)
{
    searcher result;
    result.id = service * searchers_per_service + partition * 3 + replica;
    result.address = "127.0.0.1";
    result.port = static_cast<std::uint16_t>(20000 + result.id);
    auto data_centre = (partition + replica) % data_centre_count;
    result.data_centre = std::to_string(data_centre);
    return result;
}

group make_group(
    std::uint32_t service, std::uint32_t partition, std::uint32_t replicas)
{
    group result;
    result.partition = partition;
    for (std::uint32_t replica = 0; replica < replicas; ++replica)
        result.searchers.push_back(make_searcher(service, partition, replica));
    return result;
}

service_map make_service(std::uint32_t id, const service_size& size)
{
    assert(size.groups <= max_partitions);
    service_map result;
    result.id = id;
    result.name = size.name;
    result.epoch = 1;
    result.slots = size.slots;
    result.connection_limit = size.connections;
    result.connect_cost = size.connect_cost;
    for (std::uint32_t partition = 0; partition < size.groups; ++partition)
        result.groups.push_back(make_group(id, partition, size.replicas));
    return result;
}

std::array<rank_policy, rank_count> make_ranks()
{
    std::array<rank_policy, rank_count> policies;
    policies[0] = {milliseconds(140), milliseconds(140), 10.0, 0.3};
    policies[1] = {milliseconds(300), milliseconds(300), 3.0, 0.1};
    policies[2] = {milliseconds(1000), milliseconds(1000), 1.0, 0.05};
    return policies;
}

double group_slots(const service_map& service)
{
    return static_cast<double>(service.slots) *
           static_cast<double>(service.groups.front().searchers.size());
}

void set_rates(deployment& config)
{
    auto has_fewer_slots = [](const service_map& left, const service_map& right)
    { return group_slots(left) < group_slots(right); };
    const auto& services = config.initial_bundle.services;
    auto busiest =
        std::min_element(services.begin(), services.end(), has_fewer_slots);
    auto busiest_replicated = std::min_element(
        services.begin(), services.begin() + 2, has_fewer_slots);
    config.busiest_service = busiest->id;
    config.busiest_replicated_service = busiest_replicated->id;
    config.archive_capacity =
        group_slots(*busiest) / mean_service_time_seconds();
    config.urgent_capacity =
        group_slots(*busiest_replicated) / mean_service_time_seconds();
    // The busiest service has no replicas, so urgent queries don't search it.
    auto unit = steady_utilisation * config.archive_capacity /
                (rank_mix[1] + rank_mix[2]);
    for (std::size_t it = 0; it < rank_count; ++it)
        config.query_rates[it] = unit * rank_mix[it];
}

deployment make_from_sizes(
    std::string_view name,
    microseconds data_centre_delay,
    const std::array<service_size, 4>& service_sizes)
{
    deployment result;
    result.name = name;
    result.client_delay = milliseconds(1);
    result.initial_bundle.version = 1;
    result.initial_bundle.max_instances = instance_count + 1;
    result.initial_bundle.data_centre_delay = data_centre_delay;
    for (std::uint32_t it = 0; it < data_centre_count; ++it)
        result.initial_bundle.ordinal_data_centres.push_back(
            std::to_string(it));
    result.initial_bundle.ranks = make_ranks();
    for (std::uint32_t it = 0; it < service_sizes.size(); ++it)
        result.initial_bundle.services.push_back(
            make_service(it, service_sizes[it]));
    set_rates(result);
    return result;
}

} // namespace

deployment make_deployment(std::string_view name)
{
    assert(name == "jamaica" || name == "norte");
    constexpr microseconds expensive_connect(6000);
    constexpr microseconds cheap_connect(1000);
    if (name == "jamaica")
        return make_from_sizes(
            name, microseconds(1000),
            {{{"allocation_desk", 10, 3, 3, 30, expensive_connect},
              {"fee_ledger", 15, 3, 3, 30, expensive_connect},
              {"vendor_records", 15, 1, 3, 100, cheap_connect},
              {"announcements", 7, 1, 3, 100, cheap_connect}}});
    return make_from_sizes(
        name, microseconds(500),
        {{{"phone_desk", 10, 3, 2, 25, expensive_connect},
          {"dues_ledger", 15, 3, 2, 25, expensive_connect},
          {"pattern_library", 10, 1, 3, 40, cheap_connect},
          {"shipping_desk", 5, 1, 3, 40, cheap_connect}}});
}

std::vector<std::uint32_t> services_for_rank(rank query_rank)
{
    if (query_rank == rank::urgent)
        return {0, 1};
    return {0, 1, 2, 3};
}

double mean_service_time_seconds() noexcept
{
    auto median = std::chrono::duration<double>(service_time_median).count();
    return median * std::exp(service_time_sigma * service_time_sigma / 2.0);
}

bundle make_leaving_version(const bundle& configuration)
{
    auto result = configuration;
    ++result.version;
    for (auto& service : result.services)
        for (auto& searcher_group : service.groups)
            for (auto& replica : searcher_group.searchers)
                replica.leaving = replica.leaving ||
                                  is_faulty_replica(searcher_group, replica);
    return result;
}

bundle make_repartitioned_version(const bundle& configuration)
{
    auto result = configuration;
    ++result.version;
    for (std::uint32_t id : {1U, 3U})
    {
        auto& service = result.services[id];
        auto partition = static_cast<std::uint32_t>(service.groups.size());
        auto replicas = service.groups.front().searchers.size();
        assert(partition < max_partitions);
        service.groups.push_back(
            make_group(id, partition, static_cast<std::uint32_t>(replicas)));
        ++service.epoch;
    }
    return result;
}

std::uint32_t data_centre_index(const searcher& server)
{
    return static_cast<std::uint32_t>(std::stoul(server.data_centre));
}

bool is_faulty_replica(const group& searcher_group, const searcher& replica)
{
    return searcher_group.searchers.size() > 1 &&
           searcher_group.partition % 3 == 0 &&
           replica.id == searcher_group.searchers[1].id;
}

} // namespace turmericlane::bench
