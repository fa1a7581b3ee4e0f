#include "request_admission.h"

#include "../engine/request_limits.h"
#include "completion_time.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace turmericlane
{

namespace
{

/** Share of the target for which a request may be admitted although it has to
    wait for a searcher that wants no requests at present. */
constexpr double admitted_quiet_share = 0.25;
/** Rounding error of a number of shards that is computed from a coverage. */
constexpr double rounding_tolerance = 1e-9;

/** Returns how many shards an answer of a gathered route has to include. */
std::size_t count_needed_shards(const route& matched_route)
{
    const auto needed_count = std::ceil(
        matched_route.min_coverage * matched_route.shards.size() -
        rounding_tolerance);
    return std::max<std::size_t>(1, static_cast<std::size_t>(needed_count));
}

/** Returns the time within which a request that need not wait is mostly
    answered. Pauses of single searchers, which hedges make up for, don't
    count. */
duration usual_work_time(
    execution_semantics semantics,
    duration target_time,
    const hedge_timing& timing)
{
    auto result = timing.hedge_delay(target_time);
    if (semantics == execution_semantics::idempotent)
        result += timing.median_latency();
    return std::min(result, timing.slow_latency());
}

} // namespace

request_admission::request_admission(
    const clock& time,
    searcher_availability& availability,
    const waiting_work& work)
    : clock_(time)
    , availability_(availability)
    , work_(work)
{
}

std::optional<request_refusal> request_admission::decide(
    const forward_request& request,
    const std::string* service,
    const hedge_timing& timing,
    std::size_t in_flight)
{
    const auto& matched_route = *request.matched_route;
    if (!has_searchers(matched_route, service))
        return request_refusal{
            forward_failure::no_searcher,
            availability_.time_until_searcher(matched_route, service)};
    instance_load load;
    load.in_flight = in_flight;
    load.lag = lag_;
    load.queue_wait = expected_wait(matched_route, service, timing);
    if (end_time_ != time_point::max() &&
        !is_answered_before_end(request, load, timing))
        // Other instances can take the request at once.
        return request_refusal{forward_failure::stopping, duration::zero()};
    if (room_)
    {
        const auto room_retry_after =
            room_->try_refuse(make_terms(request, service, timing));
        if (!room_retry_after)
            return std::nullopt;
        return request_refusal{forward_failure::overloaded, *room_retry_after};
    }
    if (rank_priority_)
    {
        const auto now = clock_.now();
        const rank_priority::request_terms terms{
            matched_route.rank,
            matched_route.is_gathered() ? matched_route.shards.size() : 1,
            admission_control::max_wait(matched_route)};
        rank_priority_->on_request(terms, now);
        load.max_shared_wait = rank_priority_->max_wait(terms, now);
        if (load.max_shared_wait < terms.own_max_wait)
            load.searcher_wait = searcher_wait(matched_route, service, timing);
    }
    const auto retry_after = control_.retry_after(matched_route, load);
    if (retry_after == duration::zero())
    {
        if (rank_priority_)
            rank_priority_->on_admitted(matched_route.rank, clock_.now());
        return std::nullopt;
    }
    const auto shared_wait = load.lag + load.searcher_wait;
    if (shared_wait > load.max_shared_wait)
        return request_refusal{
            forward_failure::overloaded,
            rank_priority::retry_after(
                request.label, shared_wait, matched_route.target_latency)};
    return request_refusal{forward_failure::overloaded, retry_after};
}

void request_admission::enable_room_control()
{
    room_.emplace(clock_, work_);
}

duration request_admission::on_dropped(
    const forward_request& request,
    const std::string* service,
    const hedge_timing& timing)
{
    return room_->on_dropped(make_terms(request, service, timing));
}

double request_admission::throughput(
    const route& matched_route,
    const std::string& service,
    const hedge_timing& timing) const
{
    const auto median_latency = timing.median_latency();
    if (median_latency <= duration::zero())
        return std::numeric_limits<double>::infinity();
    const auto now = clock_.now();
    std::uint32_t capacity = 0;
    for (const auto& it : availability_.candidates(matched_route, service))
    {
        if (!it->is_ejected() && !it->is_quiet(now))
            capacity += it->max_in_flight();
    }
    return std::max(capacity, 1U) /
           std::chrono::duration<double>(median_latency).count();
}

room_control::request_terms request_admission::make_terms(
    const forward_request& request,
    const std::string* service,
    const hedge_timing& timing) const
{
    const auto& matched_route = *request.matched_route;
    room_control::request_terms terms;
    terms.request = &request;
    const auto services = service != nullptr
                              ? std::span<const std::string>(service, 1)
                              : std::span(matched_route.shards);
    for (const auto& it : services)
        terms.demands.push_back({it, throughput(matched_route, it, timing)});
    terms.target_time = limits_of(request).target_time;
    terms.work_time =
        usual_work_time(matched_route.semantics, terms.target_time, timing);
    terms.lag = lag_;
    return terms;
}

duration request_admission::expected_wait(
    const route& matched_route,
    const std::string& service,
    const hedge_timing& timing) const
{
    const auto parts_ahead = work_.count_ahead(service, matched_route.rank);
    if (parts_ahead == 0)
        return duration::zero();
    std::size_t capacity = 0;
    for (const auto& it : availability_.candidates(matched_route, service))
        capacity += it->max_in_flight();
    return timing.median_latency() * parts_ahead /
           std::max<std::size_t>(capacity, 1);
}

duration request_admission::expected_wait(
    const route& matched_route,
    const std::string* service,
    const hedge_timing& timing) const
{
    if (service != nullptr)
        return expected_wait(matched_route, *service, timing);
    auto longest_wait = duration::zero();
    for (const auto& it : matched_route.shards)
        longest_wait =
            std::max(longest_wait, expected_wait(matched_route, it, timing));
    return longest_wait;
}

duration request_admission::searcher_wait(
    const route& matched_route,
    const std::string& service,
    const hedge_timing& timing) const
{
    const auto now = clock_.now();
    auto least_load = std::numeric_limits<double>::infinity();
    for (const auto& it : availability_.candidates(matched_route, service))
    {
        if (!it->is_ejected() && !it->is_quiet(now))
            least_load = std::min(least_load, it->utilisation(now));
    }
    if (!std::isfinite(least_load))
        return duration::zero();
    return std::chrono::duration_cast<duration>(
        timing.median_latency() * std::max(0.0, least_load - 1.0));
}

duration request_admission::searcher_wait(
    const route& matched_route,
    const std::string* service,
    const hedge_timing& timing) const
{
    if (service != nullptr)
        return searcher_wait(matched_route, *service, timing);
    std::vector<duration> waits;
    waits.reserve(matched_route.shards.size());
    for (const auto& it : matched_route.shards)
        waits.push_back(searcher_wait(matched_route, it, timing));
    const auto position =
        waits.begin() +
        static_cast<std::ptrdiff_t>(count_needed_shards(matched_route)) - 1;
    std::nth_element(waits.begin(), position, waits.end());
    return *position;
}

bool request_admission::has_searchers(
    const route& matched_route, const std::string* service)
{
    const auto latest =
        clock_.now() + std::chrono::duration_cast<duration>(
                           matched_route.target_latency * admitted_quiet_share);
    if (service != nullptr)
        return availability_.usable_time(matched_route, *service) <= latest;
    return availability_.count_usable_shards(matched_route, latest) >=
           count_needed_shards(matched_route);
}

bool request_admission::is_answered_before_end(
    const forward_request& request,
    const instance_load& load,
    const hedge_timing& timing) const
{
    const auto& matched_route = *request.matched_route;
    const work_estimate estimate{
        limits_of(request).timeout, load.queue_wait, timing.slow_latency()};
    return clock_.now() + completion_time(matched_route, estimate) <= end_time_;
}

} // namespace turmericlane
