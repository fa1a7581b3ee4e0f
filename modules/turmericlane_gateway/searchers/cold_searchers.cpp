#include "cold_searchers.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Time for which a limit holds if it is not renewed: three of the usual
    intervals, so that only a pause of the process ends it. */
constexpr auto limit_lifetime = 1500ms;

} // namespace

cold_searchers::cold_searchers(
    const clock& time,
    const searcher_registry& searchers,
    json_log& log,
    std::uint64_t instance)
    : clock_(time)
    , searchers_(searchers)
    , log_(log)
    , share_(instance)
{
}

void cold_searchers::on_configuration(
    std::span<const service_settings> services)
{
    // A service that has lost its rate stays, so that its searchers lose it
    // as well.
    for (auto& [service, values] : warm_ups_)
        values = {};
    for (const auto& it : services)
    {
        if (it.warm_up_rate > 0.0)
            warm_ups_[it.name] = {it.warm_up_time, it.warm_up_rate};
    }
    for (const auto& [service, values] : warm_ups_)
        on_service_changed(service);
}

void cold_searchers::on_service_changed(const std::string& service)
{
    const auto match = warm_ups_.find(service);
    if (match == warm_ups_.end())
        return;
    for (const auto& it : searchers_.service_searchers(service))
    {
        it->warm_up().set_rate(match->second.rate);
        follow(it);
    }
}

void cold_searchers::on_entry(const searcher_entry& entry)
{
    if (entry.warm_up_time > duration::zero())
        on_service_changed(entry.service);
}

void cold_searchers::on_statement(
    const std::shared_ptr<searcher>& target, duration warm_up_time)
{
    if (warm_up_time <= duration::zero())
        return;
    target->warm_up().on_cold_until(clock_.now() + warm_up_time);
    follow(target);
}

void cold_searchers::on_evacuation_ended(const std::string& data_centre)
{
    const auto now = clock_.now();
    for (const auto& [service, values] : warm_ups_)
    {
        for (const auto& it : searchers_.service_searchers(service))
        {
            if (it->entry().data_centre != data_centre)
                continue;
            it->warm_up().on_cold_until(now + values.time);
            follow(it);
        }
    }
}

void cold_searchers::on_fleet(
    std::span<const member> named_members,
    std::size_t live_count,
    std::size_t expected_count)
{
    const auto now = clock_.now();
    warm_up_share::fleet_view view;
    view.live_count = std::max<std::size_t>(live_count, 1);
    view.expected_count = expected_count;
    for (const auto& it : named_members)
        view.preferred_instances.push_back(it.nonce);
    share_.on_fleet(view, now);
    std::erase_if(
        followed_,
        [this, now](const auto& it) { return !is_cold_in_use(*it, now); });
    for (const auto& it : followed_)
        renew_limit(*it, now);
    const auto state = share_.state(now);
    if (warm_ups_.empty() || state == last_state_)
        return;
    last_state_ = state;
    log_.write_state(
        gateway_event::warm_up_divided,
        {{"state", to_string(state)},
         {"instances", static_cast<std::int64_t>(live_count)}});
}

void cold_searchers::report(gateway_metrics& metrics) const
{
    const auto now = clock_.now();
    int cold_count = 0;
    int count_without_share = 0;
    for (const auto& it : followed_)
    {
        if (!is_cold_in_use(*it, now))
            continue;
        ++cold_count;
        count_without_share += it->warm_up().limit().max_requests == 0 ? 1 : 0;
    }
    metrics.cold_searchers.set(cold_count);
    metrics.cold_searchers_without_share.set(count_without_share);
}

void cold_searchers::follow(const std::shared_ptr<searcher>& target)
{
    const auto now = clock_.now();
    if (!is_cold_in_use(*target, now))
        return;
    renew_limit(*target, now);
    if (!followed_.insert(target).second)
        return;
    const auto& limit = target->warm_up().limit();
    // Limited, because many become cold together.
    log_.write_detail(
        gateway_event::searcher_cold,
        {{"searcher", target->entry().id},
         {"service", target->entry().service},
         {"cold_ms", to_milliseconds(target->warm_up().cold_end() - now)},
         {"own_requests", static_cast<std::int64_t>(limit.max_requests)},
         {"window_ms", to_milliseconds(limit.window)}});
}

void cold_searchers::renew_limit(searcher& target, time_point now) const
{
    target.warm_up().set_limit(
        share_.limit(target.entry().id, target.warm_up().rate(), now),
        now + limit_lifetime);
}

bool cold_searchers::is_cold_in_use(
    const searcher& target, time_point now) const
{
    return target.warm_up().is_cold(now) && !target.is_leaving();
}

} // namespace turmericlane
