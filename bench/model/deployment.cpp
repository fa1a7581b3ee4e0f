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
// Share of the busiest service's slots that the steady load uses.
constexpr double utilisation = 0.6;
constexpr std::array<double, rank_count> mix = {2.0, 5.0, 3.0};

searcher make_searcher(
    std::uint32_t service, std::uint32_t partition, std::uint32_t replica)
{
    searcher made;
    made.id = service * searchers_per_service + partition * 3 + replica;
    made.address = "127.0.0.1";
    made.port = static_cast<std::uint16_t>(20000 + made.id);
    auto data_centre = (partition + replica) % data_centre_count;
    made.data_centre = std::to_string(data_centre);
    return made;
}

group make_group(
    std::uint32_t service, std::uint32_t partition, std::uint32_t replicas)
{
    group made;
    made.partition = partition;
    for (std::uint32_t it = 0; it < replicas; ++it)
        made.searchers.push_back(make_searcher(service, partition, it));
    return made;
}

service_map make_service(std::uint32_t id, const service_size& size)
{
    assert(size.groups <= max_partitions);
    service_map made;
    made.id = id;
    made.name = size.name;
    made.epoch = 1;
    made.slots = size.slots;
    made.connection_limit = size.connections;
    made.connect_cost = size.connect_cost;
    for (std::uint32_t it = 0; it < size.groups; ++it)
        made.groups.push_back(make_group(id, it, size.replicas));
    return made;
}

std::array<rank_policy, rank_count> make_ranks()
{
    std::array<rank_policy, rank_count> made;
    made[0] = {milliseconds(140), milliseconds(140), 10.0, 0.3};
    made[1] = {milliseconds(300), milliseconds(300), 3.0, 0.1};
    made[2] = {milliseconds(1000), milliseconds(1000), 1.0, 0.05};
    return made;
}

double group_slots(const service_map& of)
{
    return static_cast<double>(of.slots) *
           static_cast<double>(of.groups.front().searchers.size());
}

void set_rates(deployment& of)
{
    auto less = [](const service_map& left, const service_map& right)
    { return group_slots(left) < group_slots(right); };
    const auto& all = of.first.services;
    auto busiest = std::min_element(all.begin(), all.end(), less);
    auto grouped = std::min_element(all.begin(), all.begin() + 2, less);
    of.busiest = busiest->id;
    of.busiest_grouped = grouped->id;
    of.archive_capacity = group_slots(*busiest) / mean_service_seconds();
    of.urgent_capacity = group_slots(*grouped) / mean_service_seconds();
    // The busiest service is a single one, which urgent queries don't touch.
    auto unit = utilisation * of.archive_capacity / (mix[1] + mix[2]);
    for (std::size_t it = 0; it < rank_count; ++it)
        of.rates[it] = unit * mix[it];
}

deployment make(
    std::string_view name,
    microseconds between,
    const std::array<service_size, 4>& sizes)
{
    deployment made;
    made.name = name;
    made.client_delay = milliseconds(1);
    made.first.version = 1;
    made.first.max_instances = instance_count + 1;
    made.first.data_centre_delay = between;
    for (std::uint32_t it = 0; it < data_centre_count; ++it)
        made.first.ordinal_data_centres.push_back(std::to_string(it));
    made.first.ranks = make_ranks();
    for (std::uint32_t it = 0; it < sizes.size(); ++it)
        made.first.services.push_back(make_service(it, sizes[it]));
    set_rates(made);
    return made;
}

} // namespace

deployment make_deployment(std::string_view name)
{
    assert(name == "jamaica" || name == "norte");
    constexpr microseconds dear(6000);
    constexpr microseconds cheap(1000);
    if (name == "jamaica")
        return make(
            name, microseconds(1000),
            {{{"allocation_desk", 10, 3, 3, 30, dear},
              {"fee_ledger", 15, 3, 3, 30, dear},
              {"vendor_records", 15, 1, 3, 100, cheap},
              {"announcements", 7, 1, 3, 100, cheap}}});
    return make(
        name, microseconds(500),
        {{{"phone_desk", 10, 3, 2, 25, dear},
          {"dues_ledger", 15, 3, 2, 25, dear},
          {"pattern_library", 10, 1, 3, 40, cheap},
          {"shipping_desk", 5, 1, 3, 40, cheap}}});
}

std::vector<std::uint32_t> services_of(rank work)
{
    if (work == rank::urgent)
        return {0, 1};
    return {0, 1, 2, 3};
}

double mean_service_seconds() noexcept
{
    auto median = std::chrono::duration<double>(service_median).count();
    return median * std::exp(service_sigma * service_sigma / 2.0);
}

bundle with_leaving(const bundle& of)
{
    auto made = of;
    ++made.version;
    for (auto& service : made.services)
        for (auto& it : service.groups)
            for (auto& one : it.searchers)
                one.leaving = one.leaving || is_marked(it, one);
    return made;
}

bundle with_new_partitions(const bundle& of)
{
    auto made = of;
    ++made.version;
    for (std::uint32_t id : {1U, 3U})
    {
        auto& service = made.services[id];
        auto partition = static_cast<std::uint32_t>(service.groups.size());
        auto replicas = service.groups.front().searchers.size();
        assert(partition < max_partitions);
        service.groups.push_back(
            make_group(id, partition, static_cast<std::uint32_t>(replicas)));
        ++service.epoch;
    }
    return made;
}

std::uint32_t data_centre_of(const searcher& of)
{
    return static_cast<std::uint32_t>(std::stoul(of.data_centre));
}

bool is_marked(const group& in, const searcher& one)
{
    return in.searchers.size() > 1 && in.partition % 3 == 0 &&
           one.id == in.searchers[1].id;
}

} // namespace turmericlane::bench
