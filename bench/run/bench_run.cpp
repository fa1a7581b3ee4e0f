#include "bench_run.h"

#include "../driver/draw.h"
#include "../variants/naive_node.h"
#include "../variants/turmericlane_node.h"
#include "statistics.h"

#include <algorithm>
#include <cmath>

namespace turmericlane::bench
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longest deadline, and some time for what is late.
constexpr duration drain_time = milliseconds(1500);
// Time until peers notice that an instance is back.
constexpr duration return_time = milliseconds(200);
constexpr duration report_period = milliseconds(250);
constexpr duration report_lag = milliseconds(500);
constexpr duration cold_time = seconds(2);
constexpr double slow_factor = 10.0;
constexpr ordinal paused_instance = 3;

duration seconds_to_duration(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

} // namespace

bench_run::bench_run(
    deployment of, scenario what, variant which, std::uint64_t seed)
    : deployment_(std::move(of))
    , scenario_(std::move(what))
    , variant_(which)
    , seed_(seed)
    , start_(events_.now())
    , arrivals_(make_arrivals(deployment_, scenario_, seed, start_))
    , checker_(arrivals_.size())
    , network_(deployment_.first.data_centre_delay)
    , around_{seed, events_, network_, checker_, searchers_}
    , last_(deployment_.first)
{
    make_versions();
    make_searchers(last_);
    make_nodes();
}

bench_run::~bench_run() = default;

std::vector<bench_run::arrival> bench_run::make_arrivals(
    const deployment& of,
    const scenario& what,
    std::uint64_t seed,
    time_point start)
{
    auto rates = of.rates;
    rates[index_of(rank::archive)] += what.archive_flood * of.archive_capacity;
    rates[index_of(rank::urgent)] += what.urgent_flood * of.urgent_capacity;
    std::vector<arrival> made;
    for (auto work : all_ranks)
    {
        auto rate = rates[index_of(work)];
        auto point = start;
        for (std::uint64_t it = 0;; ++it)
        {
            auto draw = hash_of({seed, index_of(work), it});
            point += seconds_to_duration(-std::log(uniform(draw)) / rate);
            if (point > start + what.length)
                break;
            auto entry = hash_of({draw, 3}) % instance_count;
            made.push_back({point, work, static_cast<ordinal>(entry)});
        }
    }
    auto before = [](const arrival& left, const arrival& right)
    { return left.point < right.point; };
    std::stable_sort(made.begin(), made.end(), before);
    return made;
}

void bench_run::make_versions()
{
    if (scenario_.repartition)
        last_ = with_new_partitions(last_);
    if (scenario_.leaving)
        last_ = with_leaving(last_);
}

void bench_run::make_searchers(const bundle& of)
{
    owner_map owners(of);
    for (const auto& service : of.services)
        for (const auto& in : service.groups)
            for (const auto& it : in.searchers)
            {
                auto& made = searchers_[it.id];
                made = std::make_unique<fake_searcher>(
                    seed_, events_, checker_, service, in, it);
                set_behaviour(*made, is_marked(in, it));
                auto found = owners.candidates({service.id, in.partition});
                owners_[it.id].assign(found.begin(), found.end());
            }
    // Servers of groups that exist at first hold the first epoch alone.
    for (const auto& service : deployment_.first.services)
        for (const auto& in : service.groups)
            for (const auto& it : in.searchers)
                searchers_.at(it.id)->state().epochs = {
                    service.epoch, service.epoch};
}

void bench_run::set_behaviour(fake_searcher& one, bool marked) const
{
    one.state().straggler_share = scenario_.straggler_share;
    one.state().inverted_load = scenario_.inverted_load;
    if (marked && scenario_.slow_replica)
        one.state().slow = slow_factor;
}

void bench_run::make_nodes()
{
    auto lookup = [this](ordinal it) -> turmericlane_node*
    {
        if (it >= nodes_.size())
            return nullptr;
        return static_cast<turmericlane_node*>(nodes_[it].get());
    };
    auto first = std::make_shared<const bundle>(deployment_.first);
    for (ordinal it = 0; it < instance_count; ++it)
    {
        if (variant_ == variant::naive)
            nodes_.push_back(std::make_unique<naive_node>(around_, it));
        else
            nodes_.push_back(
                std::make_unique<turmericlane_node>(around_, it, lookup));
        put_in_force(*nodes_.back(), first);
    }
}

run_result bench_run::run()
{
    schedule_failures();
    send_next();
    if (variant_ == variant::turmericlane)
        report_loads();
    events_.run_until(start_ + scenario_.length + drain_time);
    checker_.on_end();
    run_result made;
    made.deployment = deployment_.name;
    made.scenario = scenario_.name;
    made.variant = variant_ == variant::naive ? "naive" : "turmericlane";
    made.violations = checker_.violations();
    made.total_violations = checker_.total_violations();
    made.records = checker_.records();
    statistics(deployment_, scenario_, start_).fill(made);
    return made;
}

void bench_run::send_next()
{
    if (next_arrival_ == arrivals_.size())
        return;
    auto query = next_arrival_++;
    auto fire = [this, query]
    {
        send(query, arrivals_[query]);
        send_next();
    };
    events_.at(arrivals_[query].point, fire);
}

void bench_run::send(std::uint64_t query, const arrival& one)
{
    checker_.on_query(query, one.work, one.point);
    const auto& policy = deployment_.first.ranks[index_of(one.work)];
    auto deadline =
        one.point + policy.default_deadline - deployment_.client_delay;
    auto& to = *nodes_[one.entry];
    auto arrive = [&to, query, work = one.work, deadline]
    {
        to.process().deliver([&to, query, work, deadline]
                             { to.on_search(query, work, deadline); });
    };
    events_.after(deployment_.client_delay, arrive);
}

void bench_run::put_in_force(
    search_node& to, const std::shared_ptr<const bundle>& of)
{
    checker_.on_bundle(of, events_.now());
    to.on_bundle(of);
}

void bench_run::at(duration offset, event_queue::action what)
{
    events_.at(start_ + offset, std::move(what));
}

duration bench_run::within(duration limit, std::uint64_t key) const
{
    auto part = uniform(hash_of({seed_, key, 4}));
    return seconds_to_duration(
        part * std::chrono::duration<double>(limit).count());
}

void bench_run::report_loads()
{
    for (const auto& [id, it] : searchers_)
    {
        auto deliver = [this, report = it->report()]
        { deliver_report(report); };
        events_.after(report_lag, deliver);
    }
    if (events_.now() < start_ + scenario_.length)
        events_.after(report_period, [this] { report_loads(); });
}

void bench_run::deliver_report(const load_report& report)
{
    const auto& server = *searchers_.at(report.server);
    for (auto it : owners_.at(report.server))
    {
        if (it >= nodes_.size())
            continue;
        auto& to = *nodes_[it];
        if (network_.reachable(to.data_centre(), server.data_centre()))
            to.process().deliver([&to, report] { to.on_load_report(report); });
    }
}

void bench_run::tell_view(ordinal viewer, ordinal peer, bool usable)
{
    auto& to = *nodes_[viewer];
    to.process().deliver([&to, peer, usable]
                         { to.on_peer_view(peer, usable); });
}

void bench_run::schedule_failures()
{
    for (const auto& service : last_.services)
        for (const auto& in : service.groups)
            for (const auto& it : in.searchers)
                if (is_marked(in, it))
                    marked_.push_back(searchers_.at(it.id).get());
    if (scenario_.replica_loss)
        schedule_replica_loss();
    if (scenario_.restarts)
        schedule_restarts();
    if (scenario_.snapshot_roll)
        schedule_rolls();
    if (scenario_.repartition)
        schedule_epochs();
    if (scenario_.leaving)
        schedule_version(*scenario_.leaving, milliseconds(2500), last_);
    if (scenario_.pause)
        schedule_pause();
    if (scenario_.split)
        schedule_split();
}

void bench_run::schedule_replica_loss()
{
    for (auto* it : marked_)
    {
        auto lose = [it]
        {
            it->state().refuses = true;
            it->restart();
        };
        at(*scenario_.replica_loss, lose);
    }
}

void bench_run::schedule_restarts()
{
    for (const auto& [id, it] : searchers_)
    {
        auto restart = [this, one = it.get()]
        {
            one->state().cold_until = events_.now() + cold_time;
            one->restart();
        };
        at(*scenario_.restarts + within(seconds(2), id), restart);
    }
}

void bench_run::schedule_rolls()
{
    for (const auto& [id, it] : searchers_)
    {
        auto* one = it.get();
        auto late = std::count(marked_.begin(), marked_.end(), one) > 0;
        auto gain = *scenario_.snapshot_roll +
                    within(scenario_.roll_spread, id) +
                    (late ? scenario_.roll_hold : duration::zero());
        at(gain, [one] { ++one->state().snapshots.newest; });
        at(gain + scenario_.roll_hold,
           [one] { ++one->state().snapshots.oldest; });
    }
}

void bench_run::schedule_epochs()
{
    auto next = with_new_partitions(deployment_.first);
    for (const auto& service : deployment_.first.services)
        for (const auto& in : service.groups)
            for (const auto& it : in.searchers)
            {
                if (next.services[service.id].epoch == service.epoch)
                    continue;
                auto* one = searchers_.at(it.id).get();
                auto late = std::count(marked_.begin(), marked_.end(), one) > 0;
                auto gain = *scenario_.repartition +
                            within(scenario_.roll_spread, it.id) +
                            (late ? scenario_.roll_hold : duration::zero());
                at(gain, [one] { ++one->state().epochs.newest; });
                at(gain + scenario_.roll_hold,
                   [one] { ++one->state().epochs.oldest; });
            }
    // The version goes out when all servers that are in time have the epoch.
    schedule_version(
        *scenario_.repartition + scenario_.roll_spread, milliseconds(500),
        next);
}

void bench_run::schedule_version(
    duration start, duration spread, const bundle& next)
{
    if (scenario_.configuration_down)
        return;
    auto shared = std::make_shared<const bundle>(next);
    for (const auto& it : nodes_)
    {
        auto& to = *it;
        auto arrive = [this, &to, shared] {
            to.process().deliver([this, &to, shared]
                                 { put_in_force(to, shared); });
        };
        at(start + within(spread, 1000 + to.self()), arrive);
    }
}

void bench_run::schedule_pause()
{
    auto start = *scenario_.pause;
    auto wake = start + scenario_.pause_length;
    auto& one = *nodes_[paused_instance];
    at(start, [this, &one, wake] { one.process().pause_until(start_ + wake); });
    at(wake, [&one] { one.on_wake(); });
    for (ordinal it = 0; it < instance_count; ++it)
    {
        if (it == paused_instance ||
            scenario_.pause_length < scenario_.detection_time)
            continue;
        at(start + scenario_.detection_time,
           [this, it] { tell_view(it, paused_instance, false); });
        at(wake + return_time,
           [this, it] { tell_view(it, paused_instance, true); });
    }
}

void bench_run::schedule_split()
{
    auto start = *scenario_.split;
    auto heal = start + scenario_.split_length;
    at(start, [this] { network_.set_split(true); });
    at(heal, [this] { network_.set_split(false); });
    auto tell = [this](bool usable)
    {
        for (const auto& from : nodes_)
            for (const auto& to : nodes_)
                if (from->data_centre() / 2 != to->data_centre() / 2)
                    tell_view(from->self(), to->self(), usable);
    };
    if (scenario_.split_length < scenario_.detection_time)
        return;
    at(start + scenario_.detection_time, [tell] { tell(false); });
    at(heal + return_time, [tell] { tell(true); });
}

} // namespace turmericlane::bench
