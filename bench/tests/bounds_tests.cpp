// The bounds that the decisions have to keep, with a fixed seed. They are
// targets: a measured figure never moves them.
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
const run_result& ours(const char* scenario)
{
    return quick_result(Deployment::name, scenario, variant::turmericlane);
}

template <class Deployment>
const run_result& naive(const char* scenario)
{
    return quick_result(Deployment::name, scenario, variant::naive);
}

const rank_result& of(const run_result& result, rank work)
{
    return result.ranks[index_of(work)];
}

double total_extra(const run_result& result)
{
    std::uint64_t sub_requests = 0;
    std::uint64_t needed = 0;
    for (const auto& it : result.ranks)
    {
        sub_requests += it.sub_requests;
        needed += it.needed;
    }
    return extra(sub_requests, needed);
}

double answered_share(const rank_result& result)
{
    return static_cast<double>(result.answered) /
           static_cast<double>(result.sent);
}

template <class Deployment>
void check_no_violation(const char* scenario)
{
    const auto& result = ours<Deployment>(scenario);
    for (std::size_t it = 0; it < violation_count; ++it)
    {
        CAPTURE(to_string(static_cast<violation>(it)));
        CHECK(result.violations[it] == 0);
    }
}

template <class Deployment>
void check_urgent_tail(const char* scenario)
{
    auto mine = of(ours<Deployment>(scenario), rank::urgent).p99_ms;
    auto other = of(naive<Deployment>(scenario), rank::urgent).p99_ms;
    CHECK(mine <= 0.4 * other);
}

template <class Deployment>
void check_coverage(const char* scenario, double least)
{
    for (auto it : all_ranks)
    {
        CAPTURE(to_string(it));
        CHECK(of(ours<Deployment>(scenario), it).coverage >= least);
    }
}

double min_share(const char* deployment, rank work)
{
    return make_deployment(deployment).first.ranks[index_of(work)].min_share;
}

} // namespace

} // namespace turmericlane::bench

TYPE_TO_STRING_AS("jamaica", turmericlane::bench::jamaica);
TYPE_TO_STRING_AS("norte", turmericlane::bench::norte);

namespace turmericlane::bench
{

TEST_CASE_TEMPLATE("steady breaks no promise", T, jamaica, norte)
{
    check_no_violation<T>("steady");
}

TEST_CASE_TEMPLATE("straggler breaks no promise", T, jamaica, norte)
{
    check_no_violation<T>("straggler");
}

TEST_CASE_TEMPLATE("slow_replica breaks no promise", T, jamaica, norte)
{
    check_no_violation<T>("slow_replica");
}

TEST_CASE_TEMPLATE("replica_loss breaks no promise", T, jamaica, norte)
{
    check_no_violation<T>("replica_loss");
}

TEST_CASE_TEMPLATE("misleading_load breaks no promise", T, jamaica, norte)
{
    check_no_violation<T>("misleading_load");
}

TEST_CASE_TEMPLATE("cold_start breaks no promise", T, jamaica, norte)
{
    check_no_violation<T>("cold_start");
}

TEST_CASE_TEMPLATE("flood_archive breaks no promise", T, jamaica, norte)
{
    check_no_violation<T>("flood_archive");
}

TEST_CASE_TEMPLATE("flood_urgent breaks no promise", T, jamaica, norte)
{
    check_no_violation<T>("flood_urgent");
}

TEST_CASE_TEMPLATE("snapshot_roll breaks no promise", T, jamaica, norte)
{
    check_no_violation<T>("snapshot_roll");
}

TEST_CASE_TEMPLATE("repartition breaks no promise", T, jamaica, norte)
{
    check_no_violation<T>("repartition");
}

TEST_CASE_TEMPLATE("leaving breaks no promise", T, jamaica, norte)
{
    check_no_violation<T>("leaving");
}

TEST_CASE_TEMPLATE("pause breaks no promise", T, jamaica, norte)
{
    check_no_violation<T>("pause");
}

TEST_CASE_TEMPLATE("partition breaks no promise", T, jamaica, norte)
{
    check_no_violation<T>("partition");
}

TEST_CASE_TEMPLATE("config_down breaks no promise", T, jamaica, norte)
{
    check_no_violation<T>("config_down");
}

TEST_CASE_TEMPLATE("steady p99 is not worse than naive", T, jamaica, norte)
{
    for (auto it : all_ranks)
    {
        CAPTURE(to_string(it));
        auto mine = of(ours<T>("steady"), it).p99_ms;
        CHECK(mine <= of(naive<T>("steady"), it).p99_ms);
    }
}

TEST_CASE_TEMPLATE("steady extra load is at most 2%", T, jamaica, norte)
{
    CHECK(total_extra(ours<T>("steady")) <= 0.02);
}

TEST_CASE_TEMPLATE("straggler urgent p99 is 0.4 of naive", T, jamaica, norte)
{
    check_urgent_tail<T>("straggler");
}

TEST_CASE_TEMPLATE("straggler extra load is at most 5%", T, jamaica, norte)
{
    CHECK(total_extra(ours<T>("straggler")) <= 0.05);
}

TEST_CASE_TEMPLATE("straggler coverage is at least 0.999", T, jamaica, norte)
{
    check_coverage<T>("straggler", 0.999);
}

TEST_CASE_TEMPLATE("slow_replica urgent p99 is 0.4 of naive", T, jamaica, norte)
{
    check_urgent_tail<T>("slow_replica");
}

TEST_CASE_TEMPLATE("slow_replica extra load is at most 5%", T, jamaica, norte)
{
    CHECK(total_extra(ours<T>("slow_replica")) <= 0.05);
}

TEST_CASE_TEMPLATE("slow_replica coverage is at least 0.999", T, jamaica, norte)
{
    check_coverage<T>("slow_replica", 0.999);
}

TEST_CASE_TEMPLATE("replica_loss is made good within 1 s", T, jamaica, norte)
{
    for (auto it : all_ranks)
    {
        CAPTURE(to_string(it));
        const auto& mine = of(ours<T>("replica_loss"), it);
        CHECK(mine.coverage_after_loss >= 0.999);
    }
}

TEST_CASE_TEMPLATE("flood_archive leaves urgent its p99", T, jamaica, norte)
{
    auto flooded = of(ours<T>("flood_archive"), rank::urgent).p99_ms;
    CHECK(flooded <= 1.2 * of(ours<T>("steady"), rank::urgent).p99_ms);
}

TEST_CASE_TEMPLATE("flood_archive leaves ordinary 90%", T, jamaica, norte)
{
    auto flooded = answered_share(of(ours<T>("flood_archive"), rank::ordinary));
    auto steady = answered_share(of(ours<T>("steady"), rank::ordinary));
    CHECK(flooded >= 0.9 * steady);
}

TEST_CASE_TEMPLATE("flood_archive leaves archive its share", T, jamaica, norte)
{
    const auto& mine = of(ours<T>("flood_archive"), rank::archive);
    CHECK(mine.busiest_share >= min_share(T::name, rank::archive));
}

TEST_CASE_TEMPLATE("flood_archive goodput is 90%", T, jamaica, norte)
{
    double goodput = 0.0;
    for (const auto& it : ours<T>("flood_archive").ranks)
        goodput += it.busiest_share;
    CHECK(goodput >= 0.9);
}

TEST_CASE_TEMPLATE("flood_urgent leaves ordinary its share", T, jamaica, norte)
{
    const auto& mine = of(ours<T>("flood_urgent"), rank::ordinary);
    CHECK(mine.grouped_share >= min_share(T::name, rank::ordinary));
}

TEST_CASE_TEMPLATE("flood_urgent leaves archive its share", T, jamaica, norte)
{
    const auto& mine = of(ours<T>("flood_urgent"), rank::archive);
    CHECK(mine.grouped_share >= min_share(T::name, rank::archive));
}

TEST_CASE_TEMPLATE("snapshot_roll coverage is at least 0.99", T, jamaica, norte)
{
    check_coverage<T>("snapshot_roll", 0.99);
}

TEST_CASE_TEMPLATE("repartition coverage is at least 0.99", T, jamaica, norte)
{
    check_coverage<T>("repartition", 0.99);
}

// Guards against answers that lose or change hits on the way.
TEST_CASE_TEMPLATE("complete answers agree with naive", T, jamaica, norte)
{
    for (const auto* name : {"steady", "straggler", "misleading_load"})
    {
        CAPTURE(name);
        const auto& mine = ours<T>(name).records;
        const auto& other = naive<T>(name).records;
        REQUIRE(mine.size() == other.size());
        std::size_t compared = 0;
        std::size_t different = 0;
        for (std::size_t it = 0; it < mine.size(); ++it)
        {
            if (mine[it].coverage < 1.0 || other[it].coverage < 1.0)
                continue;
            ++compared;
            different += mine[it].hits_hash != other[it].hits_hash ? 1 : 0;
        }
        CHECK(compared > mine.size() / 2);
        CHECK(different == 0);
    }
}

} // namespace turmericlane::bench
