#include "bundle_reader.h"

#include "json_path.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

constexpr std::uint32_t max_id = 0xffffffff;

/** Not every JSON reader represents larger integers exactly. */
constexpr std::uint64_t max_version = (1ULL << 53U) - 1;

constexpr std::uint32_t max_delay_us = 10'000'000;
constexpr std::uint32_t max_rank_time_ms = 600'000;
constexpr std::size_t max_ordinal_data_centres = 1000;

/** Tolerance for rounding errors in a sum of decimal shares. */
constexpr double share_tolerance = 1e-9;

/** Adds an error if the value of a field has occurred before. */
template <class Map, class Key>
void check_unique(
    Map& first_paths,
    const Key& key,
    const object_reader& reader,
    std::string_view field)
{
    auto path = reader.path_of(field);
    auto [it, is_new] = first_paths.try_emplace(key, path);
    if (!is_new)
        reader.add_error(field, "duplicate of " + it->second);
}

} // namespace

const error_recorder& bundle_reader::errors() const noexcept
{
    return errors_;
}

bundle bundle_reader::read(const nlohmann::json& document)
{
    bundle result;
    object_reader reader(
        document, "",
        {"version", "max_instances", "owner_candidates", "data_centre_delay_us",
         "ranks", "policy", "services"},
        errors_, {"ordinal_data_centres"});
    result.version = reader.integer("version", 1, max_version);
    result.max_instances = reader.integer32("max_instances", 1, 100'000);
    result.owner_candidates = reader.integer32("owner_candidates", 1, 16);
    result.data_centre_delay = std::chrono::microseconds(
        reader.integer32("data_centre_delay_us", 0, max_delay_us));
    result.ordinal_data_centres =
        reader.optional_names("ordinal_data_centres", max_ordinal_data_centres);
    read_ranks(reader.value("ranks"), result);
    result.policy = read_policy(reader.value("policy"));
    read_services(reader, result);
    return result;
}

void bundle_reader::read_ranks(const nlohmann::json& value, bundle& output)
{
    object_reader reader(
        value, "/ranks", {"urgent", "ordinary", "archive"}, errors_);
    double total_share = 0.0;
    for (auto request_rank : all_ranks)
    {
        auto& policy = output.ranks[index_of(request_rank)];
        policy = read_rank(
            reader.value(to_string(request_rank)),
            reader.path_of(to_string(request_rank)));
        total_share += policy.min_share;
    }
    if (total_share > 1.0 + share_tolerance)
        errors_.add("/ranks", "the sum of min_share is above 1");
}

rank_policy
bundle_reader::read_rank(const nlohmann::json& value, std::string path)
{
    object_reader reader(
        value, std::move(path),
        {"target_ms", "default_deadline_ms", "worth", "min_share"}, errors_);
    rank_policy result;
    result.target = std::chrono::milliseconds(
        reader.integer32("target_ms", 1, max_rank_time_ms));
    result.default_deadline = std::chrono::milliseconds(
        reader.integer32("default_deadline_ms", 1, max_rank_time_ms));
    result.worth = reader.number("worth", 0.0, 1'000'000.0);
    result.min_share = reader.number("min_share", 0.0, 1.0);
    return result;
}

search_policy bundle_reader::read_policy(const nlohmann::json& value)
{
    object_reader reader(
        value, "/policy",
        {"hedge_budget", "retry_budget", "hedge_percentile", "min_coverage"},
        errors_);
    search_policy result;
    result.hedge_budget = reader.number("hedge_budget", 0.0, 1.0);
    result.retry_budget = reader.number("retry_budget", 0.0, 1.0);
    result.hedge_percentile = reader.number("hedge_percentile", 0.5, 0.9999);
    result.min_coverage = reader.number("min_coverage", 0.0, 1.0);
    return result;
}

void bundle_reader::read_services(const object_reader& reader, bundle& output)
{
    auto candidate_count =
        std::min(output.owner_candidates, output.max_instances);
    const auto& services = reader.array("services", 1, 1000);
    output.services.reserve(services.size());
    for (const auto& it : services)
    {
        auto path = element_path("/services", output.services.size());
        output.services.push_back(read_service(it, path, candidate_count));
        if (errors_.has_error())
            return;
    }
}

service_map bundle_reader::read_service(
    const nlohmann::json& value,
    const std::string& path,
    std::uint32_t candidate_count)
{
    object_reader reader(
        value, path,
        {"id", "name", "epoch", "slots", "connection_limit", "connect_cost_us",
         "bookable", "groups"},
        errors_);
    service_map result;
    result.id = reader.integer32("id", 1, max_id);
    check_unique(service_ids_, result.id, reader, "id");
    result.name = reader.name("name");
    check_unique(service_names_, result.name, reader, "name");
    result.epoch = reader.integer("epoch", 1, max_version);
    result.slots = reader.integer32("slots", 1, 10'000);
    result.connection_limit = reader.integer32("connection_limit", 1, 65'535);
    if (result.connection_limit / (2 * candidate_count) < 1)
        reader.add_error(
            "connection_limit", std::to_string(result.connection_limit) +
                                    " is too low to give each candidate owner "
                                    "a connection; at least " +
                                    std::to_string(2 * candidate_count) +
                                    " (2 * candidates) are needed");
    result.connect_cost = std::chrono::microseconds(
        reader.integer32("connect_cost_us", 0, max_delay_us));
    result.bookable = reader.boolean("bookable");
    const auto& groups = reader.array("groups", 1, 100'000);
    result.groups.reserve(groups.size());
    auto groups_path = reader.path_of("groups");
    for (const auto& it : groups)
    {
        auto n = result.groups.size();
        result.groups.push_back(
            read_group(it, element_path(groups_path, n), n));
        if (errors_.has_error())
            break;
    }
    return result;
}

group bundle_reader::read_group(
    const nlohmann::json& value, std::string path, std::size_t partition)
{
    object_reader reader(
        value, std::move(path), {"partition", "searchers"}, errors_);
    group result;
    result.partition = reader.integer32("partition", 0, max_id);
    if (result.partition != partition)
        reader.add_error(
            "partition", "partitions must be in order from 0; " +
                             std::to_string(partition) + " is expected here");
    const auto& searchers = reader.array("searchers", 1, 64);
    result.searchers.reserve(searchers.size());
    auto searchers_path = reader.path_of("searchers");
    for (const auto& it : searchers)
    {
        auto n = result.searchers.size();
        result.searchers.push_back(
            read_searcher(it, element_path(searchers_path, n)));
        if (errors_.has_error())
            break;
    }
    return result;
}

searcher
bundle_reader::read_searcher(const nlohmann::json& value, std::string path)
{
    object_reader reader(
        value, std::move(path),
        {"id", "address", "port", "data_centre", "leaving"}, errors_);
    searcher result;
    result.id = reader.integer32("id", 1, max_id);
    check_unique(searcher_ids_, result.id, reader, "id");
    result.address = reader.address("address");
    result.port =
        static_cast<std::uint16_t>(reader.integer32("port", 1, 65'535));
    check_unique(
        searcher_endpoints_, std::pair(result.address, result.port), reader,
        "port");
    result.data_centre = reader.name("data_centre");
    result.leaving = reader.boolean("leaving");
    return result;
}

} // namespace turmericlane
