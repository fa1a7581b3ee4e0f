#include "bench_run.h"

#include "../driver/draw.h"
#include "../variants/naive_instance.h"
#include "../variants/turmericlane_instance.h"
#include "statistics.h"

#include <algorithm>
#include <cmath>

namespace turmericlane::bench
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longest deadline, with a margin for late answers.
constexpr duration drain_time = milliseconds(1500);
// Time after which peers notice that an instance responds again.
constexpr duration return_detection_time = milliseconds(200);
constexpr duration report_period = milliseconds(250);
constexpr duration report_lag = milliseconds(500);
constexpr duration cold_time = seconds(2);
constexpr double slow_service_time_factor = 10.0;
constexpr ordinal paused_instance = 3;

duration seconds_to_duration(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

} // namespace

bench_run::bench_run(
    deployment selected_deployment,
    scenario selected_scenario,
    variant selected_variant,
    std::uint64_t seed)
    : deployment_(std::move(selected_deployment))
    , scenario_(std::move(selected_scenario))
    , variant_(selected_variant)
    , seed_(seed)
    , start_(events_.now())
    , arrivals_(make_arrivals(deployment_, scenario_, seed, start_))
    , checker_(arrivals_.size())
    , network_(deployment_.initial_bundle.data_centre_delay)
    , context_{seed, events_, network_, checker_, searchers_}
    , last_bundle_(deployment_.initial_bundle)
{
    make_last_bundle();
    make_searchers(last_bundle_);
    make_instances();
}

bench_run::~bench_run() = default;

std::vector<bench_run::arrival> bench_run::make_arrivals(
    const deployment& selected_deployment,
    const scenario& selected_scenario,
    std::uint64_t seed,
    time_point start)
{
    auto rates = selected_deployment.query_rates;
    rates[index_of(rank::archive)] += selected_scenario.archive_flood_factor *
                                      selected_deployment.archive_capacity;
    rates[index_of(rank::urgent)] += selected_scenario.urgent_flood_factor *
                                     selected_deployment.urgent_capacity;
    std::vector<arrival> arrivals;
    for (auto query_rank : all_ranks)
    {
        auto rate = rates[index_of(query_rank)];
        auto arrival_time = start;
        for (std::uint64_t it = 0;; ++it)
        {
            auto draw = hash_values({seed, index_of(query_rank), it});
            arrival_time +=
                seconds_to_duration(-std::log(uniform_from_hash(draw)) / rate);
            if (arrival_time > start + selected_scenario.length)
                break;
            auto entry = hash_values({draw, 3}) % instance_count;
            arrivals.push_back(
                {arrival_time, query_rank, static_cast<ordinal>(entry)});
        }
    }
    auto is_earlier = [](const arrival& left, const arrival& right)
    { return left.arrival_time < right.arrival_time; };
    std::stable_sort(arrivals.begin(), arrivals.end(), is_earlier);
    return arrivals;
}

void bench_run::make_last_bundle()
{
    if (scenario_.repartition_start)
        last_bundle_ = make_repartitioned_version(last_bundle_);
    if (scenario_.leaving_start)
        last_bundle_ = make_leaving_version(last_bundle_);
}

void bench_run::make_searchers(const bundle& configuration)
{
    owner_map owners(configuration);
    for (const auto& service : configuration.services)
        for (const auto& searcher_group : service.groups)
            for (const auto& it : searcher_group.searchers)
            {
                auto& server = searchers_[it.id];
                server = std::make_unique<fake_searcher>(
                    seed_, events_, checker_, service, searcher_group, it);
                set_behaviour(*server, is_faulty_replica(searcher_group, it));
                auto candidates =
                    owners.candidates({service.id, searcher_group.partition});
                candidate_owners_[it.id].assign(
                    candidates.begin(), candidates.end());
            }
    // At the start, servers of existing groups have only the first epoch.
    for (const auto& service : deployment_.initial_bundle.services)
        for (const auto& searcher_group : service.groups)
            for (const auto& it : searcher_group.searchers)
                searchers_.at(it.id)->state().epochs = {
                    service.epoch, service.epoch};
}

void bench_run::set_behaviour(fake_searcher& server, bool is_faulty) const
{
    server.state().straggler_share = scenario_.straggler_share;
    server.state().has_inverted_load = scenario_.has_inverted_load;
    if (is_faulty && scenario_.has_slow_replicas)
        server.state().service_time_factor = slow_service_time_factor;
}

void bench_run::make_instances()
{
    auto find_instance = [this](ordinal it) -> turmericlane_instance*
    {
        if (it >= instances_.size())
            return nullptr;
        return static_cast<turmericlane_instance*>(instances_[it].get());
    };
    auto initial_bundle =
        std::make_shared<const bundle>(deployment_.initial_bundle);
    for (ordinal it = 0; it < instance_count; ++it)
    {
        if (variant_ == variant::naive)
            instances_.push_back(
                std::make_unique<naive_instance>(context_, it));
        else
            instances_.push_back(std::make_unique<turmericlane_instance>(
                context_, it, find_instance));
        apply_bundle(*instances_.back(), initial_bundle);
    }
}

run_result bench_run::run()
{
    schedule_failures();
    schedule_next_query();
    if (variant_ == variant::turmericlane)
        send_load_reports();
    events_.run_until(start_ + scenario_.length + drain_time);
    checker_.on_end();
    run_result result;
    result.deployment = deployment_.name;
    result.scenario = scenario_.name;
    result.variant = variant_ == variant::naive ? "naive" : "turmericlane";
    result.violations = checker_.violations();
    result.total_violations = checker_.total_violations();
    result.records = checker_.records();
    statistics(deployment_, scenario_, start_).fill_figures(result);
    return result;
}

void bench_run::schedule_next_query()
{
    if (next_arrival_ == arrivals_.size())
        return;
    auto query = next_arrival_++;
    auto send_and_continue = [this, query]
    {
        send_query(query, arrivals_[query]);
        schedule_next_query();
    };
    events_.schedule_at(arrivals_[query].arrival_time, send_and_continue);
}

void bench_run::send_query(std::uint64_t query, const arrival& query_arrival)
{
    checker_.on_query(
        query, query_arrival.query_rank, query_arrival.arrival_time);
    const auto& policy =
        deployment_.initial_bundle.ranks[index_of(query_arrival.query_rank)];
    auto deadline = query_arrival.arrival_time + policy.default_deadline -
                    deployment_.client_delay;
    auto& entry = *instances_[query_arrival.entry];
    auto deliver =
        [&entry, query, query_rank = query_arrival.query_rank, deadline]
    {
        entry.process().deliver(
            [&entry, query, query_rank, deadline]
            { entry.on_search(query, query_rank, deadline); });
    };
    events_.schedule_after(deployment_.client_delay, deliver);
}

void bench_run::apply_bundle(
    search_instance& target, const std::shared_ptr<const bundle>& new_bundle)
{
    checker_.on_bundle(new_bundle, events_.now());
    target.on_bundle(new_bundle);
}

void bench_run::schedule_at(duration offset, event_queue::action callback)
{
    events_.schedule_at(start_ + offset, std::move(callback));
}

duration
bench_run::random_duration(duration limit, std::uint64_t draw_key) const
{
    auto fraction = uniform_from_hash(hash_values({seed_, draw_key, 4}));
    return seconds_to_duration(
        fraction * std::chrono::duration<double>(limit).count());
}

void bench_run::send_load_reports()
{
    for (const auto& [id, it] : searchers_)
    {
        auto deliver = [this, report = it->report()]
        { deliver_report(report); };
        events_.schedule_after(report_lag, deliver);
    }
    if (events_.now() < start_ + scenario_.length)
        events_.schedule_after(report_period, [this] { send_load_reports(); });
}

void bench_run::deliver_report(const load_report& report)
{
    const auto& server = *searchers_.at(report.server);
    for (auto it : candidate_owners_.at(report.server))
    {
        if (it >= instances_.size())
            continue;
        auto& owner = *instances_[it];
        if (network_.is_reachable(owner.data_centre(), server.data_centre()))
            owner.process().deliver([&owner, report]
                                    { owner.on_load_report(report); });
    }
}

void bench_run::notify_peer_view(ordinal viewer, ordinal peer, bool is_usable)
{
    auto& target = *instances_[viewer];
    target.process().deliver([&target, peer, is_usable]
                             { target.on_peer_view(peer, is_usable); });
}

void bench_run::schedule_failures()
{
    for (const auto& service : last_bundle_.services)
        for (const auto& searcher_group : service.groups)
            for (const auto& it : searcher_group.searchers)
                if (is_faulty_replica(searcher_group, it))
                    faulty_replicas_.push_back(searchers_.at(it.id).get());
    if (scenario_.replica_loss_start)
        schedule_replica_loss();
    if (scenario_.restart_start)
        schedule_restarts();
    if (scenario_.snapshot_roll_start)
        schedule_snapshot_roll();
    if (scenario_.repartition_start)
        schedule_repartition();
    if (scenario_.leaving_start)
        schedule_version(
            *scenario_.leaving_start, milliseconds(2500), last_bundle_);
    if (scenario_.pause_start)
        schedule_pause();
    if (scenario_.split_start)
        schedule_split();
}

void bench_run::schedule_replica_loss()
{
    for (auto* it : faulty_replicas_)
    {
        auto stop_replica = [it]
        {
            it->state().refuses_connections = true;
            it->restart();
        };
        schedule_at(*scenario_.replica_loss_start, stop_replica);
    }
}

void bench_run::schedule_restarts()
{
    for (const auto& [id, it] : searchers_)
    {
        auto restart = [this, server = it.get()]
        {
            server->state().cold_until = events_.now() + cold_time;
            server->restart();
        };
        schedule_at(
            *scenario_.restart_start + random_duration(seconds(2), id),
            restart);
    }
}

void bench_run::schedule_snapshot_roll()
{
    for (const auto& [id, it] : searchers_)
    {
        auto* server = it.get();
        auto is_late =
            std::count(
                faulty_replicas_.begin(), faulty_replicas_.end(), server) > 0;
        auto new_snapshot_start =
            *scenario_.snapshot_roll_start +
            random_duration(scenario_.roll_start_spread, id) +
            (is_late ? scenario_.roll_overlap : duration::zero());
        schedule_at(
            new_snapshot_start,
            [server] { ++server->state().snapshots.newest; });
        schedule_at(
            new_snapshot_start + scenario_.roll_overlap,
            [server] { ++server->state().snapshots.oldest; });
    }
}

void bench_run::schedule_repartition()
{
    auto next_bundle = make_repartitioned_version(deployment_.initial_bundle);
    for (const auto& service : deployment_.initial_bundle.services)
        for (const auto& searcher_group : service.groups)
            for (const auto& it : searcher_group.searchers)
            {
                if (next_bundle.services[service.id].epoch == service.epoch)
                    continue;
                auto* server = searchers_.at(it.id).get();
                auto is_late = std::count(
                                   faulty_replicas_.begin(),
                                   faulty_replicas_.end(), server) > 0;
                auto new_epoch_start =
                    *scenario_.repartition_start +
                    random_duration(scenario_.roll_start_spread, it.id) +
                    (is_late ? scenario_.roll_overlap : duration::zero());
                schedule_at(
                    new_epoch_start,
                    [server] { ++server->state().epochs.newest; });
                schedule_at(
                    new_epoch_start + scenario_.roll_overlap,
                    [server] { ++server->state().epochs.oldest; });
            }
    // The version is published when all servers but the late ones have the
    // epoch.
    schedule_version(
        *scenario_.repartition_start + scenario_.roll_start_spread,
        milliseconds(500), next_bundle);
}

void bench_run::schedule_version(
    duration start, duration spread, const bundle& next_bundle)
{
    if (scenario_.is_configuration_down)
        return;
    auto shared_bundle = std::make_shared<const bundle>(next_bundle);
    for (const auto& it : instances_)
    {
        auto& target = *it;
        auto deliver = [this, &target, shared_bundle]
        {
            target.process().deliver([this, &target, shared_bundle]
                                     { apply_bundle(target, shared_bundle); });
        };
        schedule_at(
            start + random_duration(spread, 1000 + target.own_ordinal()),
            deliver);
    }
}

void bench_run::schedule_pause()
{
    auto start = *scenario_.pause_start;
    auto resume_offset = start + scenario_.pause_length;
    auto& target = *instances_[paused_instance];
    schedule_at(
        start, [this, &target, resume_offset]
        { target.process().pause_until(start_ + resume_offset); });
    schedule_at(resume_offset, [&target] { target.on_resume(); });
    for (ordinal it = 0; it < instance_count; ++it)
    {
        if (it == paused_instance ||
            scenario_.pause_length < scenario_.detection_time)
            continue;
        schedule_at(
            start + scenario_.detection_time,
            [this, it] { notify_peer_view(it, paused_instance, false); });
        schedule_at(
            resume_offset + return_detection_time,
            [this, it] { notify_peer_view(it, paused_instance, true); });
    }
}

void bench_run::schedule_split()
{
    auto start = *scenario_.split_start;
    auto split_end = start + scenario_.split_length;
    schedule_at(start, [this] { network_.set_split(true); });
    schedule_at(split_end, [this] { network_.set_split(false); });
    auto notify_views = [this](bool is_usable)
    {
        for (const auto& viewer : instances_)
            for (const auto& peer : instances_)
                if (viewer->data_centre() / 2 != peer->data_centre() / 2)
                    notify_peer_view(
                        viewer->own_ordinal(), peer->own_ordinal(), is_usable);
    };
    if (scenario_.split_length < scenario_.detection_time)
        return;
    schedule_at(
        start + scenario_.detection_time,
        [notify_views] { notify_views(false); });
    schedule_at(
        split_end + return_detection_time,
        [notify_views] { notify_views(true); });
}

} // namespace turmericlane::bench
