#include "data_centre_traffic.h"

#include <algorithm>
#include <cmath>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Weight of one answer in the smoothed work time and distance. */
constexpr double work_time_weight = 0.05;
constexpr double distance_weight = 0.2;
/** Reported loads are averaged over about this time. */
constexpr double load_time_constant_s = 0.1;
/** An older load is not used. */
constexpr auto load_lifetime = 1s;
/** An older distance gives way to the assumed one, so that a link which was
    slow is tried again. */
constexpr auto distance_lifetime = 30s;
/** Distance that is assumed without measurements, relative to the work: the
    surcharge of replica_selector for other data centres. */
constexpr double assumed_distance = 0.8;
/** A data centre in which no request may use a searcher for so long has
    none. */
constexpr auto absence_time = 1s;
constexpr auto update_interval = 20ms;
constexpr auto rate_interval = 500ms;
constexpr double rate_weight = 0.5;
/** Bounds what is sent at once after a time in which a destination could not be
    used. */
constexpr double max_credit = 1.0;
/** Bounds the changes that are kept until they are taken. */
constexpr std::size_t max_changes = 4096;

double to_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

duration scale(duration time, double factor)
{
    return std::chrono::duration_cast<duration>(time * factor);
}

duration smooth(duration old_value, duration sample, double weight)
{
    return old_value + scale(sample - old_value, weight);
}

} // namespace

data_centre_traffic::data_centre_traffic(
    std::string data_centre,
    const balance_settings& settings,
    const std::set<std::string>& evacuated)
    : data_centre_(std::move(data_centre))
    , settings_(settings)
    , evacuated_(evacuated)
{
}

void data_centre_traffic::set_instances(std::uint32_t instances)
{
    instances_ = std::max(instances, 1U);
}

data_centre_traffic::place& data_centre_traffic::place_of(
    service_state& state, const std::string& data_centre)
{
    return state.places.try_emplace(data_centre, settings_.traffic_price)
        .first->second;
}

void data_centre_traffic::on_answer(
    const searcher& target, duration latency, time_point now)
{
    if (!settings_.is_enabled)
        return;
    auto& state = services_[target.entry().service];
    const auto& data_centre = target.entry().data_centre;
    auto& measured = place_of(state, data_centre);
    const auto reported_load = target.utilisation(now);
    const auto weight =
        1.0 -
        std::exp(-to_seconds(now - measured.load_time) / load_time_constant_s);
    measured.load += (reported_load - measured.load) * weight;
    measured.load_time = now;
    // The work without the time for which other requests ran first.
    const auto factor =
        target.work_time_factor(now) * std::max(1.0, reported_load);
    if (data_centre == data_centre_)
    {
        const auto sample = scale(latency, 1.0 / factor);
        state.work_time =
            state.work_time == duration::zero()
                ? sample
                : smooth(state.work_time, sample, work_time_weight);
        return;
    }
    if (state.work_time == duration::zero())
        return;
    const auto sample =
        std::max(duration::zero(), latency - scale(state.work_time, factor));
    measured.distance =
        measured.distance_time == time_point{}
            ? sample
            : smooth(measured.distance, sample, distance_weight);
    measured.distance_time = now;
}

bool data_centre_traffic::is_measured(const std::string& service) const
{
    const auto match = services_.find(service);
    return match != services_.end() &&
           match->second.work_time > duration::zero();
}

const std::string& data_centre_traffic::next_destination(
    const std::string& service,
    std::span<const std::shared_ptr<searcher>> replicas,
    duration time_left,
    time_point now)
{
    auto& state = services_[service];
    measure_rate(state, now);
    for (const auto& it : replicas)
        place_of(state, it->entry().data_centre).seen_time = now;
    if (now >= state.next_update)
        update(service, state, replicas, now);
    const std::string* result = &data_centre_;
    auto best_credit = 1.0;
    for (const auto& [name, it] : state.places)
    {
        const auto share = it.balance.share();
        if (share <= 0.0 || evacuated_.contains(name) ||
            it.credit + share < best_credit)
            continue;
        const auto expected_time = distance(state, it, now) + state.work_time;
        if (time_left > duration::zero() && expected_time > time_left)
            continue;
        best_credit = it.credit + share;
        result = &name;
    }
    return *result;
}

void data_centre_traffic::on_sent(
    const std::string& service, const std::string& data_centre)
{
    auto& state = services_[service];
    ++state.requests;
    for (auto& [name, it] : state.places)
    {
        const auto share = it.balance.share();
        const auto sent = name == data_centre ? 1.0 : 0.0;
        it.credit =
            share <= 0.0
                ? 0.0
                : std::clamp(it.credit + share - sent, -max_credit, max_credit);
    }
}

double data_centre_traffic::price_cost(const std::string& service) const
{
    const auto match = services_.find(service);
    if (match == services_.end() || match->second.work_time <= duration::zero())
        return 0.0;
    return to_seconds(settings_.traffic_price) /
           to_seconds(match->second.work_time);
}

std::vector<balance_change> data_centre_traffic::take_changes()
{
    return std::exchange(changes_, {});
}

void data_centre_traffic::measure_rate(service_state& state, time_point now)
{
    if (state.rate_start == time_point{})
        state.rate_start = now;
    const auto elapsed = now - state.rate_start;
    if (elapsed < rate_interval)
        return;
    const auto rate = state.requests / to_seconds(elapsed);
    state.request_rate =
        state.request_rate <= 0.0
            ? rate
            : state.request_rate + (rate - state.request_rate) * rate_weight;
    state.requests = 0;
    state.rate_start = now;
}

std::map<std::string, data_centre_state> data_centre_traffic::summarize(
    const service_state& state,
    std::span<const std::shared_ptr<searcher>> replicas,
    time_point now) const
{
    std::map<std::string, data_centre_state> result;
    std::map<std::string, double> cold_slots;
    std::map<std::string, double> work_time_sums;
    for (const auto& it : replicas)
    {
        if (it->is_leaving() || it->is_ejected() || it->is_avoided(now) ||
            it->is_quiet(now) || it->is_departure_reported(now))
            continue;
        const auto& name = it->entry().data_centre;
        const auto slots = static_cast<double>(it->entry().slots);
        result[name].slots += slots;
        work_time_sums[name] += it->work_time_factor(now) * slots;
        if (it->is_warming_up(now))
            cold_slots[name] += slots;
    }
    for (const auto& [name, it] : state.places)
    {
        auto& value = result[name];
        value.is_load_known = now - it.load_time <= load_lifetime;
        value.load = value.is_load_known ? it.load : 0.0;
        if (value.slots > 0.0)
            value.work_time_factor = work_time_sums[name] / value.slots;
        value.is_cold = value.slots > 0.0 && cold_slots[name] >= value.slots;
        value.is_evacuated = evacuated_.contains(name);
        if (name != data_centre_)
            value.distance = distance(state, it, now);
    }
    return result;
}

void data_centre_traffic::update(
    const std::string& service,
    service_state& state,
    std::span<const std::shared_ptr<searcher>> replicas,
    time_point now)
{
    state.next_update = now + update_interval;
    const auto summary = summarize(state, replicas, now);
    const auto inside = summary.find(data_centre_);
    if (inside == summary.end())
        return;
    service_demand demand;
    demand.work_time = state.work_time;
    demand.request_rate = state.request_rate;
    demand.instances = instances_;
    auto total_share = 0.0;
    for (const auto& [name, it] : state.places)
        total_share += it.balance.share();
    for (auto& [name, it] : state.places)
    {
        // Other routes of the service may use searchers that this request may
        // not use.
        const auto is_other_route =
            it.seen_time < now && now - it.seen_time <= absence_time;
        if (name == data_centre_ ||
            (is_other_route && !evacuated_.contains(name)))
            continue;
        demand.other_share = total_share - it.balance.share();
        it.balance.update(demand, inside->second, summary.at(name), now);
        total_share = demand.other_share + it.balance.share();
        record(service, name, it);
    }
}

duration data_centre_traffic::distance(
    const service_state& state, const place& destination, time_point now)
{
    const auto is_known = destination.distance_time != time_point{} &&
                          now - destination.distance_time <= distance_lifetime;
    return is_known ? destination.distance
                    : scale(state.work_time, assumed_distance);
}

void data_centre_traffic::record(
    const std::string& service, const std::string& destination, place& changed)
{
    const auto share = changed.balance.share();
    const auto reason = changed.balance.reason();
    const auto is_reason_new = reason != changed.recorded_reason;
    if (share == changed.recorded_share && !is_reason_new)
        return;
    changed.recorded_share = share;
    changed.recorded_reason = reason;
    if (changes_.size() < max_changes)
        changes_.push_back(
            {service, destination, share, reason, is_reason_new});
}

} // namespace turmericlane
