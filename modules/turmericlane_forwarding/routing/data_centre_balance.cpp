#include "data_centre_balance.h"

#include <algorithm>
#include <cmath>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Largest change of the share at once. */
constexpr double share_step = 0.1;
/** Largest share for a destination whose load is not known, or while the own
    demand is not. */
constexpr double trial_share = 0.05;
/** Smaller differences from the wanted share are ignored. */
constexpr double share_tolerance = 0.02;
/** Interval of the steps: longer than it takes until answers report the effect
    of one, and a multiple of the work, so that the growth of the load is more
    than its noise. */
constexpr auto min_step_interval = 100ms;
constexpr int step_interval_works = 10;
/** Weight of one interval in the smoothed arrivals. */
constexpr double arrival_weight = 0.5;
/** The number of waiting requests that is aimed at, relative to the one at
    which inside takes as long as outside. Any number up to that one sends the
    same share out in the long run; a smaller one makes fewer requests wait. */
constexpr double aimed_wait = 0.5;
/** Requests that wait beyond the aimed number are worked off in this
    time. */
constexpr double catch_up_time_s = 0.2;
/** No increase follows for this time after the share dropped to zero. */
constexpr auto drop_pause = 1s;
/** Time to be saved before sending starts, relative to the work. */
constexpr double start_gain = 0.5;
/** Sending starts with at least this share, and after it was worthwhile for so
    many steps: chance queues are short, while those of an overload grow. */
constexpr double min_start_share = 0.1;
constexpr std::uint32_t start_steps = 2;
/** A destination whose expected time grows by more, relative to the work,
    became slow. */
constexpr double slow_growth = 0.5;
/** Weight of one interval in the time that growth is compared with. */
constexpr double usual_time_weight = 0.1;
/** The rest of the destination's slots is left to its own variations. */
constexpr double max_fill = 0.9;
/** Some requests stay inside, so that its state remains known. */
constexpr double max_total_share = 0.8;

double to_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

/** Expected time from sending to the answer, in seconds. A request that meets
    more requests than slots waits for its turn. */
double completion(double work_time, const data_centre_state& place)
{
    return to_seconds(place.distance) +
           work_time * place.work_time_factor * std::max(1.0, place.load);
}

} // namespace

std::string_view to_string(balance_reason value) noexcept
{
    switch (value)
    {
    case balance_reason::inside_faster:
        return "inside_faster";
    case balance_reason::outside_faster:
        return "outside_faster";
    case balance_reason::no_room:
        return "no_room";
    case balance_reason::slow:
        return "slow";
    case balance_reason::cold:
        return "cold";
    case balance_reason::evacuated:
        return "evacuated";
    case balance_reason::unreachable:
        return "unreachable";
    case balance_reason::price:
        return "price";
    }
    return "unknown";
}

data_centre_balance::data_centre_balance(duration traffic_price)
    : traffic_price_(traffic_price)
{
}

void data_centre_balance::drop(balance_reason reason, time_point now)
{
    if (share_ > 0.0)
        next_step_ = now + drop_pause;
    share_ = 0.0;
    reason_ = reason;
}

void data_centre_balance::update(
    const service_demand& demand,
    const data_centre_state& inside,
    const data_centre_state& outside,
    time_point now)
{
    if (outside.is_evacuated)
        return drop(balance_reason::evacuated, now);
    if (outside.slots <= 0.0)
        return drop(balance_reason::unreachable, now);
    if (outside.is_cold)
        return drop(balance_reason::cold, now);

    const auto work_time = to_seconds(demand.work_time);
    const auto inside_time = completion(work_time, inside);
    const auto outside_time = completion(work_time, outside);
    const auto max_growth = work_time * slow_growth;
    if (share_ > 0.0 && outside_time > usual_outside_time_ + max_growth &&
        outside_time > inside_time)
        return drop(balance_reason::slow, now);

    const auto max_share = this->max_share(demand, outside);
    // This bound holds at once; everything else is approached in steps.
    share_ = std::min(share_, max_share);
    if (now < next_step_)
        return;
    measure_arrivals(demand, inside, now);
    next_step_ =
        now + std::max<duration>(
                  min_step_interval, demand.work_time * step_interval_works);

    const auto price = to_seconds(traffic_price_);
    const auto needed_gain = share_ > 0.0 ? 0.0 : work_time * start_gain;
    const auto wanted_share = balanced_share(
        demand, inside, share_ > 0.0 ? outside_time + price : outside_time);
    const auto is_worthwhile =
        share_ > 0.0 ? wanted_share > 0.0
                     : wanted_share >= min_start_share &&
                           inside_time - outside_time > needed_gain;
    worthwhile_steps_ = is_worthwhile ? worthwhile_steps_ + 1 : 0;
    if (!is_worthwhile || (share_ <= 0.0 && worthwhile_steps_ < start_steps))
        reason_ = balance_reason::inside_faster;
    else if (inside_time - outside_time - price <= needed_gain && share_ <= 0.0)
        reason_ = balance_reason::price;
    else if (max_share <= 0.0)
        reason_ = balance_reason::no_room;
    else
        reason_ = balance_reason::outside_faster;

    if (share_ <= 0.0 && reason_ == balance_reason::outside_faster)
        usual_outside_time_ = outside_time;
    usual_outside_time_ +=
        (outside_time - usual_outside_time_) * usual_time_weight;
    const auto target_share = reason_ == balance_reason::outside_faster
                                  ? std::min(wanted_share, max_share)
                                  : 0.0;
    const auto difference = target_share - share_;
    if (std::abs(difference) > share_tolerance || target_share == 0.0)
        share_ += std::clamp(difference, -share_step, share_step);
}

double data_centre_balance::max_share(
    const service_demand& demand, const data_centre_state& outside) const
{
    auto result = max_total_share - demand.other_share;
    const auto room = outside.slots * (max_fill - outside.load);
    // Slots that the whole demand of all instances would occupy there.
    const auto needed_slots = demand.instances * demand.request_rate *
                              to_seconds(demand.work_time) *
                              outside.work_time_factor;
    if (needed_slots > 0.0)
        result = std::min(result, share_ + room / needed_slots);
    if (!outside.is_load_known || needed_slots <= 0.0)
        result = std::min(result, trial_share);
    return std::max(result, 0.0);
}

void data_centre_balance::measure_arrivals(
    const service_demand& demand,
    const data_centre_state& inside,
    time_point now)
{
    // As many are completed as run; the load grows by the others.
    const auto elapsed = to_seconds(now - load_time_);
    const auto work_time =
        to_seconds(demand.work_time) * inside.work_time_factor;
    auto sample = std::min(1.0, inside.load);
    if (load_time_ != time_point{} && elapsed > 0.0)
        sample += (inside.load - last_load_) / elapsed * work_time;
    arrivals_ += (std::max(0.0, sample) - arrivals_) * arrival_weight;
    last_load_ = inside.load;
    load_time_ = now;
}

double data_centre_balance::balanced_share(
    const service_demand& demand,
    const data_centre_state& inside,
    double outside_time) const
{
    const auto work_time =
        to_seconds(demand.work_time) * inside.work_time_factor;
    const auto balanced_load = outside_time / work_time;
    // Even a request that does not wait takes longer inside.
    if (balanced_load <= 1.0)
        return 1.0;
    const auto present_share = 1.0 - demand.other_share - share_;
    const auto whole_demand =
        arrivals_ / std::max(present_share, 1.0 - max_total_share);
    const auto aimed_load = 1.0 + (balanced_load - 1.0) * aimed_wait;
    const auto wanted_arrivals =
        1.0 + (aimed_load - inside.load) * work_time / catch_up_time_s;
    if (whole_demand <= 0.0)
        return 0.0;
    return 1.0 - demand.other_share - wanted_arrivals / whole_demand;
}

} // namespace turmericlane
