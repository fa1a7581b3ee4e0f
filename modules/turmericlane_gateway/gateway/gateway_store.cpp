// The part of the class gateway that follows the store.

#include "gateway.h"

namespace turmericlane
{

void gateway::follow_store(
    store_reader& reader,
    store_decoder& decoder,
    const item_order& order,
    duration peer_timeout)
{
    decoder_ = &decoder;
    follower_ = std::make_unique<store_follower>(
        clock_, reader, static_cast<store_listener&>(*this), order,
        settings_.nonce);
    follower_->set_change_limit(settings_.change_limit);
    follower_->start(peer_timeout);
    schedule_wakeup();
}

void gateway::on_store_answer(store_answer&& answer)
{
    const auto answered_revision = answer.revision;
    follower_->on_answer(std::move(answer));
    if (!follower_->is_store_lost() &&
        answered_revision >= follower_->position().revision)
        follow_monitor_.on_answer_taken();
    check_following();
    schedule_wakeup();
}

void gateway::on_store_failure(
    store_failure failure, std::optional<std::uint64_t> reported_era)
{
    follow_monitor_.on_failure(failure);
    follower_->on_failure(failure, reported_era);
    check_following();
    schedule_wakeup();
}

void gateway::item_changed(const store_item& item)
{
    auto change = decoder_->decode(item);
    if (!change)
        return;
    if (auto* configuration = std::get_if<route_configuration>(&*change))
        apply_configuration(std::move(*configuration));
    else if (const auto* entry = std::get_if<searcher_entry>(&*change))
    {
        registry_.on_entry(*entry);
        cold_searchers_.on_entry(*entry);
    }
    else if (const auto* removal = std::get_if<searcher_removal>(&*change))
        registry_.on_removed(removal->id);
    else if (const auto* order = std::get_if<evacuation_order>(&*change))
        apply_evacuation(*order);
}

void gateway::store_complete()
{
    store_recorder_.on_complete(
        registry_.size(), follower_->position().revision);
}

void gateway::store_lost(store_failure failure)
{
    store_recorder_.on_lost(failure, follower_->age());
}

void gateway::store_returned()
{
    store_recorder_.on_returned();
}

void gateway::store_history_lost(std::uint64_t held_revision)
{
    store_recorder_.on_history_lost(held_revision);
}

void gateway::store_answer_behind(
    std::uint64_t, std::uint64_t answered_revision)
{
    follow_monitor_.on_answer_behind(answered_revision);
}

void gateway::store_not_followed(const follow_report& report)
{
    store_recorder_.on_not_followed(report);
}

void gateway::store_followed(duration duration_behind)
{
    store_recorder_.on_followed(
        duration_behind, follower_->position().revision);
}

void gateway::check_following()
{
    if (!follower_)
        return;
    if (follower_->is_complete())
        follow_monitor_.on_confirmed(clock_.now() - follower_->age());
    follow_monitor_.check(
        follower_->position().revision, follower_->watch_wait_time());
}

void gateway::report_store_metrics()
{
    if (!follower_)
        return;
    metrics_.store_age_seconds.set(
        std::chrono::duration<double>(follower_->age()).count());
    metrics_.store_era.set(
        static_cast<double>(follower_->position().era.reported));
    metrics_.store_revision.set(
        static_cast<double>(follower_->position().revision));
    metrics_.store_followed.set(follow_monitor_.is_following() ? 1 : 0);
    metrics_.set_store_calls(follower_->counts());
}

void gateway::store_reverted(const store_return_report& report)
{
    metrics_.store_returns.add();
    store_recorder_.on_reverted(report);
}

void gateway::store_answer_refused(
    std::uint64_t stated_era, std::uint64_t known_era)
{
    metrics_.store_answers_refused.add();
    follow_monitor_.on_answer_refused(0);
    store_recorder_.on_answer_refused(stated_era, known_era);
}

void gateway::store_settling(time_point settling_end)
{
    registry_.defer_removals(settling_end);
}

void gateway::push(const feed_message& changes)
{
    peers_.push(changes);
}

void gateway::pull(const endpoint& peer, const store_position& position)
{
    puller_.pull(peer, position);
}

void gateway::pull_succeeded(const feed_message& message)
{
    follower_->on_pulled(message);
    schedule_wakeup();
}

void gateway::pull_failed()
{
    follower_->on_pull_failed();
    schedule_wakeup();
}

void gateway::apply_configuration(route_configuration&& configuration)
{
    const auto version_in_force = configuration_version();
    if (configuration.version <= version_in_force)
    {
        if (configuration.version < version_in_force)
            log_.write_state(
                gateway_event::configuration_ignored,
                {{"version", static_cast<std::int64_t>(configuration.version)},
                 {"in_force", static_cast<std::int64_t>(version_in_force)}});
        return;
    }
    constexpr std::uint64_t phase_count = 101;
    const auto phase =
        static_cast<double>(settings_.nonce % phase_count) / phase_count;
    routes_ = std::make_shared<route_table>(std::move(configuration), phase);
    const auto& new_configuration = routes_->configuration();
    log_.write_state(
        gateway_event::configuration_in_force,
        {{"version", static_cast<std::int64_t>(new_configuration.version)},
         {"routes",
          static_cast<std::int64_t>(new_configuration.routes.size())}});
    cold_searchers_.on_configuration(new_configuration.services);
    plan_services();
}

void gateway::apply_evacuation(const evacuation_order& order)
{
    if (!registry_.on_evacuation(order.data_centre, order.is_active))
        return;
    log_.write_state(
        order.is_active ? gateway_event::evacuation_started
                        : gateway_event::evacuation_ended,
        {{"data_centre", order.data_centre},
         {"searchers",
          static_cast<std::int64_t>(registry_.count_in(order.data_centre))}});
    // The searchers near the instances decide which of these callers are given.
    choose_instances();
    if (order.is_active)
        engine_.on_searchers_lost();
    else
        cold_searchers_.on_evacuation_ended(order.data_centre);
}

} // namespace turmericlane
