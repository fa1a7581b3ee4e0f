#include "searcher.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Weight of one latency in the smoothed slowness. */
constexpr double slowness_weight = 0.25;
/** One latency counts for at most this multiple of the usual one, so that a
    single outlier does not decide. */
constexpr double max_slowness_sample = 8.0;
/** An observed slowness loses half of its distance to 1 in this time, so that
    a slow searcher is tried again. */
constexpr double slowness_half_life_s = 2.5;
/** Age up to which a reported load counts. */
constexpr auto load_lifetime = 400ms;
/** Cost of full utilisation relative to an idle searcher. */
constexpr double utilisation_cost = 0.8;
/** Cost factor of a searcher that has just started. */
constexpr double warm_up_cost = 1.7;
/** Longer than the pauses of a garbage collection. */
constexpr auto overdue_avoidance = 160ms;
constexpr double overdue_cost = 20.0;
/** Silence for longer than this multiple of the usual latency is not the time
    that a request takes. */
constexpr int silent_multiple = 4;
/** Time out of use after the first failure; it doubles up to the longest. */
constexpr auto first_ejection = 150ms;
constexpr auto longest_ejection = 3s;
constexpr std::uint32_t max_doublings = 5;
/** Silence for longer than this is no pause of a garbage collection. */
constexpr auto longest_pause = 300ms;
constexpr auto shed_avoidance = 40ms;
constexpr auto turned_away_avoidance = 300ms;
/** Answers broken off in a row that count as a failure of the searcher. */
constexpr std::uint32_t broken_in_a_row = 3;
/** Weight of one request in the smoothed rate of failures. */
constexpr double failure_weight = 0.2;
/** The rate loses half in this time, so that the searcher is tried again. */
constexpr double failure_half_life_s = 4.0;
/** Cost of a certain failure relative to a usual request: the repeat takes its
    time, and the budget of repeats is scarce. */
constexpr double failure_cost = 8.0;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

searcher::searcher(searcher_entry entry, time_point now)
    : entry_(std::move(entry))
    , slowness_at_(now)
    , failure_rate_at_(now)
    , load_at_(now - load_lifetime)
    , warm_at_(now + entry_.warm_up)
{
}

void searcher::update(searcher_entry entry, time_point now)
{
    if (entry.incarnation != entry_.incarnation ||
        entry.service != entry_.service || entry.address != entry_.address ||
        entry.port != entry_.port)
    {
        failures_ = 0;
        slowness_ = 1.0;
        failure_rate_ = 0.0;
        avoided_until_ = {};
        ejected_ = false;
    }
    entry_ = std::move(entry);
    warm_at_ = now + entry_.warm_up;
    removed_ = false;
}

void searcher::on_start(time_point now) noexcept
{
    if (in_flight_ == 0)
        waiting_since_ = now;
    ++in_flight_;
    ++sent_since_load_;
}

void searcher::on_end() noexcept
{
    assert(in_flight_ > 0);
    --in_flight_;
}

void searcher::on_answer(duration took, duration usual, time_point now)
{
    failures_ = 0;
    last_answer_ = now;
    waiting_since_ = now;
    usual_ = usual;
    note_failure(false, now);
    avoided_until_ = {};
    ejected_ = false;
    if (usual <= duration::zero())
        return;
    const auto sample =
        std::min(seconds(took) / seconds(usual), max_slowness_sample);
    slowness_ =
        slowness(now) * (1.0 - slowness_weight) + sample * slowness_weight;
    slowness_at_ = now;
}

void searcher::on_overdue(time_point now) noexcept
{
    avoided_until_ = now + overdue_avoidance;
}

void searcher::on_silence(time_point sent, time_point now) noexcept
{
    if (last_answer_ < sent && now - sent > longest_pause)
        on_failure(now);
    else
        on_overdue(now);
}

void searcher::on_failure(time_point now) noexcept
{
    const auto doublings = std::min(failures_, max_doublings);
    const auto span = first_ejection * (1U << doublings);
    probe_at_ = now + std::min<duration>(span, longest_ejection);
    ejected_ = true;
    ++failures_;
    note_failure(true, now);
}

void searcher::on_broken(time_point now) noexcept
{
    if (failures_ + 1 >= broken_in_a_row)
    {
        on_failure(now);
        return;
    }
    ++failures_;
    note_failure(true, now);
}

void searcher::on_error(time_point now) noexcept
{
    last_answer_ = now;
    waiting_since_ = now;
    note_failure(true, now);
}

void searcher::on_shed(time_point now) noexcept
{
    last_answer_ = now;
    waiting_since_ = now;
    avoided_until_ = std::max(avoided_until_, now + shed_avoidance);
    note_failure(true, now);
}

void searcher::on_turned_away(time_point now) noexcept
{
    avoided_until_ = std::max(avoided_until_, now + turned_away_avoidance);
}

void searcher::on_reachable() noexcept
{
    ejected_ = false;
}

void searcher::on_load(const searcher_load& load, time_point now) noexcept
{
    const auto slots = std::max(load.slots, 1U);
    load_ = static_cast<double>(load.running + load.waiting) / slots;
    load_at_ = now;
    sent_since_load_ = 0;
}

void searcher::note_failure(bool failed, time_point now) noexcept
{
    const auto sample = failed ? failure_weight : 0.0;
    failure_rate_ = failure_rate(now) * (1.0 - failure_weight) + sample;
    failure_rate_at_ = now;
}

double searcher::failure_rate(time_point now) const noexcept
{
    const auto age = seconds(now - failure_rate_at_);
    return failure_rate_ * std::exp2(-age / failure_half_life_s);
}

double searcher::slowness(time_point now) const noexcept
{
    const auto age = seconds(now - slowness_at_);
    return 1.0 + (slowness_ - 1.0) * std::exp2(-age / slowness_half_life_s);
}

double searcher::utilisation(time_point now) const noexcept
{
    const auto slots = std::max(entry_.slots, 1U);
    const auto own = static_cast<double>(in_flight_) / slots;
    if (now - load_at_ > load_lifetime)
        return own;
    const auto reported = load_ + static_cast<double>(sent_since_load_) / slots;
    return std::max(own, reported);
}

double searcher::cost(time_point now) const noexcept
{
    const auto used = utilisation(now);
    auto made = slowness(now) * (1.0 + utilisation_cost * used * used);
    if (now < warm_at_)
        made *= warm_up_cost;
    made += failure_cost * failure_rate(now);
    if (avoided(now))
        made += overdue_cost;
    return made;
}

duration searcher::silent_for(time_point now) const noexcept
{
    return in_flight_ == 0 ? duration::zero() : now - waiting_since_;
}

bool searcher::avoided(time_point now) const noexcept
{
    const auto longest =
        std::max<duration>(overdue_avoidance, usual_ * silent_multiple);
    return now < avoided_until_ || silent_for(now) > longest;
}

} // namespace turmericlane
