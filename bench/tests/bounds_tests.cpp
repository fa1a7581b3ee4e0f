// Checks the bounds that the decision code must keep, with a fixed seed. They
// are targets and must not be adjusted to measured values.
#include "../run/statistics.h"
#include "bench_series.h"

#include <doctest/doctest.h>

namespace turmericlane::bench
{
namespace
{

struct jamaica
{
    static constexpr const char* name = "jamaica";
};

struct norte
{
    static constexpr const char* name = "norte";
};

template <class Deployment>
const run_result& turmericlane_result(const char* scenario)
{
    return quick_result(Deployment::name, scenario, variant::turmericlane);
}

template <class Deployment>
const run_result& naive_result(const char* scenario)
{
    return quick_result(Deployment::name, scenario, variant::naive);
}

const rank_result& figures_of_rank(const run_result& result, rank query_rank)
{
    return result.ranks[index_of(query_rank)];
}

double total_extra_load(const run_result& result)
{
    std::uint64_t sub_requests = 0;
    std::uint64_t needed_groups = 0;
    for (const auto& it : result.ranks)
    {
        sub_requests += it.sub_requests;
        needed_groups += it.needed_groups;
    }
    return extra_load_share(sub_requests, needed_groups);
}

double answered_share(const rank_result& result)
{
    return static_cast<double>(result.answered) /
           static_cast<double>(result.sent);
}

template <class Deployment>
void check_no_violation(const char* scenario)
{
    const auto& result = turmericlane_result<Deployment>(scenario);
    for (std::size_t it = 0; it < violation_count; ++it)
    {
        CAPTURE(to_string(static_cast<violation>(it)));
        CHECK(result.violations[it] == 0);
    }
}

template <class Deployment>
void check_urgent_p99(const char* scenario)
{
    auto turmericlane_p99 =
        figures_of_rank(turmericlane_result<Deployment>(scenario), rank::urgent)
            .p99_ms;
    auto naive_p99 =
        figures_of_rank(naive_result<Deployment>(scenario), rank::urgent)
            .p99_ms;
    CHECK(turmericlane_p99 <= 0.4 * naive_p99);
}

template <class Deployment>
void check_coverage(const char* scenario, double min_coverage)
{
    for (auto it : all_ranks)
    {
        CAPTURE(to_string(it));
        CHECK(
            figures_of_rank(turmericlane_result<Deployment>(scenario), it)
                .coverage >= min_coverage);
    }
}

double min_share(const char* deployment, rank query_rank)
{
    return make_deployment(deployment)
        .initial_bundle.ranks[index_of(query_rank)]
        .min_share;
}

} // namespace

} // namespace turmericlane::bench

TYPE_TO_STRING_AS("jamaica", turmericlane::bench::jamaica);
TYPE_TO_STRING_AS("norte", turmericlane::bench::norte);

namespace turmericlane::bench
{

TEST_CASE_TEMPLATE("steady violates no guarantee", T, jamaica, norte)
{
    check_no_violation<T>("steady");
}

TEST_CASE_TEMPLATE("straggler violates no guarantee", T, jamaica, norte)
{
    check_no_violation<T>("straggler");
}

TEST_CASE_TEMPLATE("slow_replica violates no guarantee", T, jamaica, norte)
{
    check_no_violation<T>("slow_replica");
}

TEST_CASE_TEMPLATE("replica_loss violates no guarantee", T, jamaica, norte)
{
    check_no_violation<T>("replica_loss");
}

TEST_CASE_TEMPLATE("misleading_load violates no guarantee", T, jamaica, norte)
{
    check_no_violation<T>("misleading_load");
}

TEST_CASE_TEMPLATE("cold_start violates no guarantee", T, jamaica, norte)
{
    check_no_violation<T>("cold_start");
}

TEST_CASE_TEMPLATE("flood_archive violates no guarantee", T, jamaica, norte)
{
    check_no_violation<T>("flood_archive");
}

TEST_CASE_TEMPLATE("flood_urgent violates no guarantee", T, jamaica, norte)
{
    check_no_violation<T>("flood_urgent");
}

TEST_CASE_TEMPLATE("snapshot_roll violates no guarantee", T, jamaica, norte)
{
    check_no_violation<T>("snapshot_roll");
}

TEST_CASE_TEMPLATE("repartition violates no guarantee", T, jamaica, norte)
{
    check_no_violation<T>("repartition");
}

TEST_CASE_TEMPLATE("leaving violates no guarantee", T, jamaica, norte)
{
    check_no_violation<T>("leaving");
}

TEST_CASE_TEMPLATE("pause violates no guarantee", T, jamaica, norte)
{
    check_no_violation<T>("pause");
}

TEST_CASE_TEMPLATE("partition violates no guarantee", T, jamaica, norte)
{
    check_no_violation<T>("partition");
}

TEST_CASE_TEMPLATE("config_down violates no guarantee", T, jamaica, norte)
{
    check_no_violation<T>("config_down");
}

TEST_CASE_TEMPLATE("steady p99 is not worse than naive", T, jamaica, norte)
{
    for (auto it : all_ranks)
    {
        CAPTURE(to_string(it));
        auto turmericlane_p99 =
            figures_of_rank(turmericlane_result<T>("steady"), it).p99_ms;
        CHECK(
            turmericlane_p99 <=
            figures_of_rank(naive_result<T>("steady"), it).p99_ms);
    }
}

TEST_CASE_TEMPLATE("steady extra load is at most 2%", T, jamaica, norte)
{
    CHECK(total_extra_load(turmericlane_result<T>("steady")) <= 0.02);
}

TEST_CASE_TEMPLATE(
    "straggler urgent p99 is at most 0.4 of naive", T, jamaica, norte)
{
    check_urgent_p99<T>("straggler");
}

TEST_CASE_TEMPLATE("straggler extra load is at most 5%", T, jamaica, norte)
{
    CHECK(total_extra_load(turmericlane_result<T>("straggler")) <= 0.05);
}

TEST_CASE_TEMPLATE("straggler coverage is at least 0.999", T, jamaica, norte)
{
    check_coverage<T>("straggler", 0.999);
}

TEST_CASE_TEMPLATE(
    "slow_replica urgent p99 is at most 0.4 of naive", T, jamaica, norte)
{
    check_urgent_p99<T>("slow_replica");
}

TEST_CASE_TEMPLATE("slow_replica extra load is at most 5%", T, jamaica, norte)
{
    CHECK(total_extra_load(turmericlane_result<T>("slow_replica")) <= 0.05);
}

TEST_CASE_TEMPLATE("slow_replica coverage is at least 0.999", T, jamaica, norte)
{
    check_coverage<T>("slow_replica", 0.999);
}

TEST_CASE_TEMPLATE(
    "replica_loss regains coverage within 1 s", T, jamaica, norte)
{
    for (auto it : all_ranks)
    {
        CAPTURE(to_string(it));
        const auto& figures =
            figures_of_rank(turmericlane_result<T>("replica_loss"), it);
        CHECK(figures.coverage_after_loss >= 0.999);
    }
}

TEST_CASE_TEMPLATE("flood_archive keeps the urgent p99", T, jamaica, norte)
{
    auto flood_p99 =
        figures_of_rank(turmericlane_result<T>("flood_archive"), rank::urgent)
            .p99_ms;
    CHECK(
        flood_p99 <=
        1.2 * figures_of_rank(turmericlane_result<T>("steady"), rank::urgent)
                  .p99_ms);
}

TEST_CASE_TEMPLATE("flood_archive keeps 90% of ordinary", T, jamaica, norte)
{
    auto flood_share = answered_share(figures_of_rank(
        turmericlane_result<T>("flood_archive"), rank::ordinary));
    auto steady_share = answered_share(
        figures_of_rank(turmericlane_result<T>("steady"), rank::ordinary));
    CHECK(flood_share >= 0.9 * steady_share);
}

TEST_CASE_TEMPLATE("flood_archive keeps the archive share", T, jamaica, norte)
{
    const auto& figures =
        figures_of_rank(turmericlane_result<T>("flood_archive"), rank::archive);
    CHECK(figures.busiest_share >= min_share(T::name, rank::archive));
}

TEST_CASE_TEMPLATE("flood_archive goodput is at least 90%", T, jamaica, norte)
{
    double goodput = 0.0;
    for (const auto& it : turmericlane_result<T>("flood_archive").ranks)
        goodput += it.busiest_share;
    CHECK(goodput >= 0.9);
}

TEST_CASE_TEMPLATE("flood_urgent keeps the ordinary share", T, jamaica, norte)
{
    const auto& figures =
        figures_of_rank(turmericlane_result<T>("flood_urgent"), rank::ordinary);
    CHECK(figures.replicated_share >= min_share(T::name, rank::ordinary));
}

TEST_CASE_TEMPLATE("flood_urgent keeps the archive share", T, jamaica, norte)
{
    const auto& figures =
        figures_of_rank(turmericlane_result<T>("flood_urgent"), rank::archive);
    CHECK(figures.replicated_share >= min_share(T::name, rank::archive));
}

TEST_CASE_TEMPLATE("snapshot_roll coverage is at least 0.99", T, jamaica, norte)
{
    check_coverage<T>("snapshot_roll", 0.99);
}

TEST_CASE_TEMPLATE("repartition coverage is at least 0.99", T, jamaica, norte)
{
    check_coverage<T>("repartition", 0.99);
}

// Guards against answers in which hits are lost or changed.
TEST_CASE_TEMPLATE("complete answers equal those of naive", T, jamaica, norte)
{
    for (const auto* name : {"steady", "straggler", "misleading_load"})
    {
        CAPTURE(name);
        const auto& turmericlane_records = turmericlane_result<T>(name).records;
        const auto& naive_records = naive_result<T>(name).records;
        REQUIRE(turmericlane_records.size() == naive_records.size());
        std::size_t compared_count = 0;
        std::size_t different_count = 0;
        for (std::size_t it = 0; it < turmericlane_records.size(); ++it)
        {
            if (turmericlane_records[it].coverage < 1.0 ||
                naive_records[it].coverage < 1.0)
                continue;
            ++compared_count;
            different_count += turmericlane_records[it].hits_hash !=
                                       naive_records[it].hits_hash
                                   ? 1
                                   : 0;
        }
        CHECK(compared_count > turmericlane_records.size() / 2);
        CHECK(different_count == 0);
    }
}

} // namespace turmericlane::bench
