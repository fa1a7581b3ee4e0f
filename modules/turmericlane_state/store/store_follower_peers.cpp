// The part of the class store_follower that exchanges items with its peers.

#include "store_follower.h"

#include "store_periods.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Highest random delay of a pull, which spreads the pulls of many instances.
 */
constexpr auto max_pull_delay = 40ms;
/** After a return of the store, all instances pull all items at about the same
    time: a further delay for each instance, up to a limit. */
constexpr auto copy_delay_per_instance = 2ms;
constexpr auto max_copy_delay = 500ms;
/** Delay before the store is asked for what a peer without an era claims. Most
    instances get the change from another peer in that time. */
constexpr auto min_claim_delay = 50ms;
constexpr auto max_claim_delay = 400ms;

} // namespace

void store_follower::on_peer_state(
    const endpoint& peer, const peer_copy_state& state)
{
    if (!state.era)
    {
        on_claim(state.revision);
        return;
    }
    const store_position position{*state.era, state.revision};
    if (position.era < position_.era)
        return;
    if (position <= position_)
    {
        // The store had no newer revision at that time, so this copy was up to
        // date.
        if (position.revision > 0)
            set_confirmed(clock_.now() - state.age);
        return;
    }
    if (position.era == position_.era)
    {
        stated_revision_ = std::max(stated_revision_, position.revision);
        // A reader gets the same changes from the store itself.
        if (is_reader() && !is_store_lost_ && is_complete())
            return;
    }
    plan_pull(peer, position);
}

void store_follower::plan_pull(
    const endpoint& peer, const store_position& position)
{
    if (!newer_peer_ || position >= newer_peer_position_)
    {
        newer_peer_ = peer;
        newer_peer_position_ = position;
    }
    if (pull_time_ != time_point::max() || is_pull_pending_)
        return;
    duration max_delay = max_pull_delay;
    if (is_complete() && position.era != position_.era)
        max_delay += std::min<duration>(
            copy_delay_per_instance * instance_count_, max_copy_delay);
    pull_time_ = clock_.now() + std::chrono::duration_cast<duration>(
                                    max_delay * random_fraction());
}

void store_follower::on_feed(const feed_message& message)
{
    if (!message.era || *message.era < position_.era)
    {
        ++counts_.ignored_feeds;
        return;
    }
    const auto is_same_era = *message.era == position_.era;
    // A late copy may hold items that have been removed since.
    const auto is_known =
        is_same_era && message.last_revision <= position_.revision;
    const auto has_gap =
        !message.is_complete &&
        (!is_same_era || message.base_revision > position_.revision);
    if (is_known || has_gap)
    {
        ++counts_.ignored_feeds;
        return;
    }
    const auto now = clock_.now();
    const auto settling_time =
        std::min<duration>(message.settling_time_left, settling_period);
    if (settling_time > duration::zero())
        listener_.store_settling(now + settling_time);
    if (message.is_complete)
    {
        store_copy copy;
        copy.position = {*message.era, message.last_revision};
        copy.items = message.items;
        copy.retained_items = message.retained_items;
        copy.evidence = return_evidence::peer;
        copy.retention_end =
            now +
            std::min<duration>(message.retention_time_left, retention_period);
        copy.settling_end = std::max(
            now + settling_time,
            copy.retention_end - (retention_period - settling_period));
        take_copy(copy);
    }
    else
    {
        for (const auto& it : message.items)
        {
            if (items_.apply(it))
                listener_.item_changed(it);
        }
        advance_revision(message.last_revision);
    }
    set_confirmed(now - message.age);
}

void store_follower::on_pulled(const feed_message& message)
{
    is_pull_pending_ = false;
    on_feed(message);
}

void store_follower::on_pull_failed()
{
    ++counts_.failed_pulls;
    is_pull_pending_ = false;
    newer_peer_.reset();
    pull_time_ = time_point::max();
}

feed_message store_follower::feed_since(
    std::optional<store_era> era, std::uint64_t revision) const
{
    const auto now = clock_.now();
    feed_message message;
    message.era = position_.era;
    message.base_revision = revision;
    message.last_revision = position_.revision;
    message.age = age();
    message.settling_time_left =
        std::max(duration::zero(), settling_end_ - now);
    const auto is_same_era = era.value_or(position_.era) == position_.era;
    auto changed_items = is_same_era && revision > 0
                             ? items_.changes_since(revision)
                             : std::nullopt;
    message.is_complete = !changed_items.has_value();
    if (changed_items)
    {
        message.items = std::move(*changed_items);
        return message;
    }
    message.items = items_.existing_items();
    message.retained_items = items_.retained_items();
    message.retention_time_left =
        std::max(duration::zero(), retention_end_ - now);
    return message;
}

void store_follower::on_claim(std::uint64_t revision)
{
    // A claim of no newer revision is no confirmation: it may be one of the
    // history before a return.
    if (are_claims_refuted_ || !is_complete() || revision <= position_.revision)
        return;
    claimed_revision_ = std::max(claimed_revision_, revision);
    if (claim_check_time_ != time_point::max() || is_call_pending_)
        return;
    claim_check_time_ =
        clock_.now() + min_claim_delay +
        std::chrono::duration_cast<duration>(
            (max_claim_delay - min_claim_delay) * random_fraction());
}

void store_follower::check_claims(const call_basis& basis)
{
    // The store answered later than the peer that claims a greater revision.
    if (basis.claimed_revision > position_.revision)
        are_claims_refuted_ = true;
}

void store_follower::pull_if_due()
{
    if (clock_.now() < pull_time_)
        return;
    pull_time_ = time_point::max();
    if (!newer_peer_ || newer_peer_position_ <= position_ || is_pull_pending_)
        return;
    is_pull_pending_ = true;
    ++counts_.pulls;
    listener_.pull(*newer_peer_, position_);
    newer_peer_.reset();
}

} // namespace turmericlane
