#include "bundle_reader.h"

#include "json_path.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

constexpr std::uint32_t max_id = 0xffffffff;

/** Larger integers are not exact in every JSON reader. */
constexpr std::uint64_t max_version = (1ULL << 53U) - 1;

constexpr std::uint32_t max_delay_us = 10'000'000;
constexpr std::uint32_t max_rank_ms = 600'000;
constexpr std::size_t max_ordinal_data_centres = 1000;

/** Tolerance for sums of shares that were rounded in decimal. */
constexpr double share_tolerance = 1e-9;

/** Reports a field whose value occurred before. */
template <class Map, class Key>
void check_unique(
    Map& seen,
    const Key& key,
    const object_reader& reader,
    std::string_view field)
{
    auto path = reader.path_of(field);
    auto [it, inserted] = seen.try_emplace(key, path);
    if (!inserted)
        reader.fail(field, "duplicate of " + it->second);
}

} // namespace

const read_errors& bundle_reader::errors() const noexcept
{
    return errors_;
}

bundle bundle_reader::read(const nlohmann::json& document)
{
    bundle made;
    object_reader reader(
        document, "",
        {"version", "max_instances", "owner_candidates", "data_centre_delay_us",
         "ranks", "policy", "services"},
        errors_, {"ordinal_data_centres"});
    made.version = reader.integer("version", 1, max_version);
    made.max_instances = reader.integer32("max_instances", 1, 100'000);
    made.owner_candidates = reader.integer32("owner_candidates", 1, 16);
    made.data_centre_delay = std::chrono::microseconds(
        reader.integer32("data_centre_delay_us", 0, max_delay_us));
    made.ordinal_data_centres =
        reader.optional_names("ordinal_data_centres", max_ordinal_data_centres);
    read_ranks(reader.value("ranks"), made);
    made.policy = read_policy(reader.value("policy"));
    read_services(reader, made);
    return made;
}

void bundle_reader::read_ranks(const nlohmann::json& value, bundle& into)
{
    object_reader reader(
        value, "/ranks", {"urgent", "ordinary", "archive"}, errors_);
    double shares = 0.0;
    for (auto it : all_ranks)
    {
        auto& policy = into.ranks[index_of(it)];
        policy = read_rank(
            reader.value(to_string(it)), reader.path_of(to_string(it)));
        shares += policy.min_share;
    }
    if (shares > 1.0 + share_tolerance)
        errors_.add("/ranks", "the sum of min_share is above 1");
}

rank_policy
bundle_reader::read_rank(const nlohmann::json& value, std::string path)
{
    object_reader reader(
        value, std::move(path),
        {"target_ms", "default_deadline_ms", "worth", "min_share"}, errors_);
    rank_policy made;
    made.target = std::chrono::milliseconds(
        reader.integer32("target_ms", 1, max_rank_ms));
    made.default_deadline = std::chrono::milliseconds(
        reader.integer32("default_deadline_ms", 1, max_rank_ms));
    made.worth = reader.number("worth", 0.0, 1'000'000.0);
    made.min_share = reader.number("min_share", 0.0, 1.0);
    return made;
}

search_policy bundle_reader::read_policy(const nlohmann::json& value)
{
    object_reader reader(
        value, "/policy",
        {"hedge_budget", "retry_budget", "hedge_percentile", "min_coverage"},
        errors_);
    search_policy made;
    made.hedge_budget = reader.number("hedge_budget", 0.0, 1.0);
    made.retry_budget = reader.number("retry_budget", 0.0, 1.0);
    made.hedge_percentile = reader.number("hedge_percentile", 0.5, 0.9999);
    made.min_coverage = reader.number("min_coverage", 0.0, 1.0);
    return made;
}

void bundle_reader::read_services(const object_reader& reader, bundle& into)
{
    auto candidates = std::min(into.owner_candidates, into.max_instances);
    const auto& services = reader.array("services", 1, 1000);
    into.services.reserve(services.size());
    for (const auto& it : services)
    {
        auto path = element_path("/services", into.services.size());
        into.services.push_back(read_service(it, path, candidates));
        if (errors_.failed())
            return;
    }
}

service_map bundle_reader::read_service(
    const nlohmann::json& value,
    const std::string& path,
    std::uint32_t candidates)
{
    object_reader reader(
        value, path,
        {"id", "name", "epoch", "slots", "connection_limit", "connect_cost_us",
         "bookable", "groups"},
        errors_);
    service_map made;
    made.id = reader.integer32("id", 1, max_id);
    check_unique(service_ids_, made.id, reader, "id");
    made.name = reader.name("name");
    check_unique(names_, made.name, reader, "name");
    made.epoch = reader.integer("epoch", 1, max_version);
    made.slots = reader.integer32("slots", 1, 10'000);
    made.connection_limit = reader.integer32("connection_limit", 1, 65'535);
    if (made.connection_limit / (2 * candidates) < 1)
        reader.fail(
            "connection_limit",
            std::to_string(made.connection_limit) +
                " leaves a candidate owner no connection; at least " +
                std::to_string(2 * candidates) +
                " (2 * candidates) are needed");
    made.connect_cost = std::chrono::microseconds(
        reader.integer32("connect_cost_us", 0, max_delay_us));
    made.bookable = reader.boolean("bookable");
    const auto& groups = reader.array("groups", 1, 100'000);
    made.groups.reserve(groups.size());
    auto groups_path = reader.path_of("groups");
    for (const auto& it : groups)
    {
        auto n = made.groups.size();
        made.groups.push_back(read_group(it, element_path(groups_path, n), n));
        if (errors_.failed())
            break;
    }
    return made;
}

group bundle_reader::read_group(
    const nlohmann::json& value, std::string path, std::size_t partition)
{
    object_reader reader(
        value, std::move(path), {"partition", "searchers"}, errors_);
    group made;
    made.partition = reader.integer32("partition", 0, max_id);
    if (made.partition != partition)
        reader.fail(
            "partition", "partitions must be in order from 0; " +
                             std::to_string(partition) + " is expected here");
    const auto& searchers = reader.array("searchers", 1, 64);
    made.searchers.reserve(searchers.size());
    auto searchers_path = reader.path_of("searchers");
    for (const auto& it : searchers)
    {
        auto n = made.searchers.size();
        made.searchers.push_back(
            read_searcher(it, element_path(searchers_path, n)));
        if (errors_.failed())
            break;
    }
    return made;
}

searcher
bundle_reader::read_searcher(const nlohmann::json& value, std::string path)
{
    object_reader reader(
        value, std::move(path),
        {"id", "address", "port", "data_centre", "leaving"}, errors_);
    searcher made;
    made.id = reader.integer32("id", 1, max_id);
    check_unique(searcher_ids_, made.id, reader, "id");
    made.address = reader.address("address");
    made.port = static_cast<std::uint16_t>(reader.integer32("port", 1, 65'535));
    check_unique(
        addresses_, std::pair(made.address, made.port), reader, "port");
    made.data_centre = reader.name("data_centre");
    made.leaving = reader.boolean("leaving");
    return made;
}

} // namespace turmericlane
