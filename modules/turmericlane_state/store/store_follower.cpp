#include "store_follower.h"

#include "store_periods.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Number of instances that read the store. One still reads it if the store
    refuses the other two. */
constexpr std::uint32_t reader_count = 3;
/** Time between the calls of two instances without a confirmation, in a small
    fleet: the answer that one of them gets may reach the others. */
constexpr duration position_delay = 50ms;
/** Time in which all instances of such a fleet call the store. */
constexpr duration max_stale_window = 200ms;
/** Time from the start of a call until its changes are in force, with one call
    that fails. */
constexpr duration call_margin = 300ms;
/** Share of the store's rate of calls that instances without a confirmation may
    use. */
constexpr double stale_rate_share = 0.5;
/** Timeout of a page. The store answers within milliseconds, so a page without
    an answer is read again. */
constexpr auto max_page_timeout = 1200ms;
/** Initial timeout of a page while the copy is not complete. It is short, so
    that the end of an outage is noticed within a third of a second, and doubles
    after every three failures for a slow store. */
constexpr auto initial_page_timeout = 300ms;
constexpr std::uint32_t failures_per_doubling = 3;
/** Wait time of a watch in a small fleet. It is short enough to notice a silent
    connection within the time limit for the spread of a new version. */
constexpr auto min_watch_wait_time = 1500ms;
constexpr auto max_watch_wait_time = 20s;
/** Wait time of the first watch after an outage: its answer tells at once
    whether the store is in another era. */
constexpr auto first_watch_wait_time = 1ms;
/** Time by which the timeout of a watch exceeds its wait time. */
constexpr auto watch_timeout_margin = 800ms;
/** Share of the store's rate of calls that watches without changes may use. */
constexpr double watch_rate_share = 0.1;
constexpr auto initial_retry_delay = 60ms;
constexpr auto max_retry_delay = 800ms;
constexpr std::uint32_t max_doublings = 4;
/** Pause after a watch that reported changes, so that changes in quick
    succession are read together. */
constexpr auto pause_between_watches = 60ms;
/** Shorter outages, such as single refused calls, leave the writers time. */
constexpr auto min_outage = 1000ms;
/** Number of pages of a listing that are read without a pause. */
constexpr std::uint32_t max_pages_at_once = 64;

} // namespace

store_follower::store_follower(
    const clock& time,
    store_reader& reader,
    store_listener& listener,
    const item_order& order,
    std::uint64_t seed)
    : clock_(time)
    , reader_(reader)
    , listener_(listener)
    , random_state_(seed)
    , items_(order)
    , watch_wait_time_(min_watch_wait_time)
{
}

void store_follower::start(duration peer_wait_time)
{
    is_started_ = true;
    earliest_call_time_ = clock_.now() + peer_wait_time;
    call_if_due();
}

void store_follower::on_answer(store_answer&& answer)
{
    is_call_pending_ = false;
    highest_reported_era_ =
        std::max(highest_reported_era_, answer.reported_era.value_or(0));
    if (is_behind(answer.reported_era))
    {
        refuse_answer(*answer.reported_era);
        return;
    }
    if (answer.revision == 0)
    {
        on_failure(store_failure::malformed, answer.reported_era);
        return;
    }
    failure_count_ = 0;
    const auto now = clock_.now();
    if (is_store_lost_)
    {
        is_store_lost_ = false;
        settling_end_ = now + settling_period;
        if (now - store_loss_time_ >= min_outage)
            items_.extend_retention(settling_end_);
        listener_.store_returned();
        listener_.store_settling(settling_end_);
    }
    if (position_.era != call_basis_.position.era)
    {
        // A peer's copy of a newer era was taken during the call.
        if (phase_ == phase::listing)
            restart_listing();
        call_if_due();
        return;
    }
    if (era_of(answer.reported_era) == position_.era &&
        answer.revision < call_basis_.known_revision)
    {
        ++counts_.answers_behind;
        listener_.store_answer_behind(
            call_basis_.known_revision, answer.revision);
    }
    if (phase_ == phase::listing)
        apply_page(std::move(answer));
    else
        apply_changes(std::move(answer));
    call_if_due();
}

void store_follower::on_failure(
    store_failure cause, std::optional<std::uint64_t> reported_era)
{
    is_call_pending_ = false;
    highest_reported_era_ =
        std::max(highest_reported_era_, reported_era.value_or(0));
    if (is_behind(reported_era))
    {
        refuse_answer(*reported_era);
        return;
    }
    count_failure(cause);
    if (cause == store_failure::history_lost)
    {
        listener_.store_history_lost(position_.revision);
        restart_listing();
        delay_repeated_call();
        call_if_due();
        return;
    }
    // The store may have been replaced by an older copy during the outage. If
    // it states its era, the next answer tells.
    const auto is_era_known =
        std::max(highest_reported_era_, position_.era.reported) != 0;
    const auto& basis_era =
        last_page_key_.empty() ? position_.era : listing_position_.era;
    if (era_of(reported_era) != basis_era ||
        (cause == store_failure::unreachable && !is_era_known))
    {
        is_listing_due_ = true;
        // The pages read before may be from another history.
        if (phase_ == phase::listing)
            restart_listing();
    }
    if (!is_store_lost_)
    {
        is_store_lost_ = true;
        store_loss_time_ = clock_.now();
        listener_.store_lost(cause);
    }
    const auto pause = retry_delay(failure_count_);
    ++failure_count_;
    // An instance without a complete copy refuses all requests. To keep that
    // time short, the duration of the failed call counts as part of the pause.
    earliest_call_time_ =
        is_complete() ? clock_.now() + pause
                      : std::max(clock_.now(), call_start_time_ + pause);
}

void store_follower::set_position(
    std::uint32_t position,
    std::uint32_t instance_count,
    double calls_per_second)
{
    instance_position_ = position;
    instance_count_ = instance_count;
    const auto active_readers = std::min(instance_count, reader_count);
    const auto wait_seconds = std::chrono::duration<double>(
        active_readers / std::max(1.0, calls_per_second * watch_rate_share));
    watch_wait_time_ = std::clamp<duration>(
        std::chrono::duration_cast<duration>(wait_seconds), min_watch_wait_time,
        max_watch_wait_time);
    stale_age_ = stale_age(calls_per_second);
    call_if_due();
}

void store_follower::set_change_limit(duration limit)
{
    change_limit_ = limit;
}

duration store_follower::stale_age(double calls_per_second) const
{
    // A watch and the exchange between peers usually take less.
    const auto min_age = change_limit_ * 2 / 3;
    const auto others = std::max(instance_count_, reader_count) - reader_count;
    if (is_reader() || others == 0)
        return min_age;
    // If the readers are lost, all others may read the store: nobody has to
    // notice that they are gone. More than it serves in a second are spread.
    const auto seconds =
        others / std::max(1.0, calls_per_second * stale_rate_share);
    const auto window =
        seconds > 1.0 ? std::chrono::duration_cast<duration>(
                            std::chrono::duration<double>(seconds))
                      : std::min(position_delay * others, max_stale_window);
    const auto first_age =
        std::max(min_age, change_limit_ - call_margin - window);
    const auto rank = std::min(instance_position_ - reader_count + 1, others);
    return first_age + window * rank / others;
}

void store_follower::on_timer()
{
    if (next_retention_end() <= clock_.now())
    {
        for (const auto& it : items_.end_retention(clock_.now()))
            listener_.item_changed(it);
    }
    call_if_due();
    pull_if_due();
}

time_point store_follower::next_wakeup() const
{
    auto wakeup_time = std::min(pull_time_, next_retention_end());
    if (is_started_ && !is_call_pending_)
        wakeup_time = std::min(wakeup_time, next_call_time());
    return wakeup_time;
}

duration store_follower::age() const
{
    return clock_.now() - confirmation_time_;
}

bool store_follower::is_reader() const
{
    return instance_position_ < reader_count;
}

bool store_follower::is_behind(std::optional<std::uint64_t> reported_era) const
{
    return reported_era && *reported_era < position_.era.reported;
}

store_era
store_follower::era_of(std::optional<std::uint64_t> reported_era) const
{
    // An answer that states no era is not older than those before it.
    const auto number = reported_era.value_or(highest_reported_era_);
    if (number > position_.era.reported)
        return {number, 0};
    return position_.era;
}

time_point store_follower::next_retention_end() const
{
    // Without the store, the writers have not had time to write again. A
    // reader knows by itself that it cannot reach the store; the peers'
    // statements make a confirmation later by the time that they travel.
    const auto end = items_.next_retention_end();
    const auto is_over = end <= clock_.now();
    if (is_over &&
        (end > confirmation_time_ || (is_reader() && is_store_lost_)))
        return time_point::max();
    return end;
}

time_point store_follower::next_call_time() const
{
    const auto is_listing = phase_ == phase::listing && !last_page_key_.empty();
    if (is_reader() || !is_complete() || is_listing)
        return earliest_call_time_;
    return std::max(
        earliest_call_time_,
        std::min(confirmation_time_ + stale_age_, claim_check_time_));
}

void store_follower::call_if_due()
{
    if (is_started_ && !is_call_pending_ && clock_.now() >= next_call_time())
        call_store();
}

void store_follower::call_store()
{
    const auto now = clock_.now();
    claim_check_time_ = time_point::max();
    is_call_pending_ = true;
    call_start_time_ = now;
    call_basis_ = {
        position_, std::max(position_.revision, stated_revision_),
        claimed_revision_};
    if (is_listing_due_ && phase_ == phase::watching)
        restart_listing();
    if (phase_ == phase::listing)
    {
        ++counts_.pages;
        reader_.read_page(last_page_key_, page_timeout());
    }
    else
    {
        ++counts_.watches;
        call_wait_time_ =
            is_store_lost_ ? duration(first_watch_wait_time) : watch_wait_time_;
        reader_.watch(
            position_.revision, call_wait_time_,
            call_wait_time_ + watch_timeout_margin);
    }
}

void store_follower::count_failure(store_failure cause)
{
    switch (cause)
    {
    case store_failure::unreachable:
        ++counts_.unreachable;
        break;
    case store_failure::refused:
        ++counts_.refused;
        break;
    case store_failure::history_lost:
        ++counts_.history_losses;
        break;
    case store_failure::malformed:
        ++counts_.malformed;
        break;
    case store_failure::older_era:
        // Counted by the listener.
        break;
    }
}

duration store_follower::page_timeout() const
{
    if (is_complete())
        return max_page_timeout;
    const auto doublings =
        std::min(failure_count_ / failures_per_doubling, max_doublings);
    return std::min<duration>(
        initial_page_timeout * (1U << doublings), max_page_timeout);
}

void store_follower::refuse_answer(std::uint64_t stated_era)
{
    listener_.store_answer_refused(stated_era, position_.era.reported);
    on_failure(store_failure::older_era, std::nullopt);
}

void store_follower::apply_page(store_answer&& answer)
{
    const store_position answer_position{
        era_of(answer.reported_era), answer.revision};
    if (last_page_key_.empty())
    {
        listing_position_ = answer_position;
        listing_basis_ = call_basis_;
        listing_time_ = clock_.now();
        listed_items_.clear();
        page_count_ = 0;
    }
    else if (
        listing_basis_.position.era != position_.era ||
        answer_position < listing_position_ ||
        answer_position.era != listing_position_.era)
    {
        // The store has returned from an older copy between two pages.
        restart_listing();
        delay_repeated_call();
        return;
    }
    std::move(
        answer.items.begin(), answer.items.end(),
        std::back_inserter(listed_items_));
    if (!answer.has_more)
    {
        apply_listing(answer.revision);
        return;
    }
    if (answer.last_key.empty() || answer.last_key == last_page_key_)
    {
        restart_listing();
        on_failure(store_failure::malformed, answer.reported_era);
        return;
    }
    last_page_key_ = std::move(answer.last_key);
    if (++page_count_ > max_pages_at_once)
        earliest_call_time_ = clock_.now() + pause_between_watches;
}

void store_follower::apply_listing(std::uint64_t end_revision)
{
    last_page_key_.clear();
    const auto now = clock_.now();
    store_copy copy;
    copy.position = listing_position_;
    copy.items = listed_items_;
    copy.settling_end = now + settling_period;
    copy.retention_end = now + retention_period;
    if (const auto contradiction = find_contradiction(end_revision);
        contradiction && copy.position.era == position_.era)
    {
        copy.evidence = *contradiction;
        ++copy.position.era.inferred;
    }
    is_listing_due_ = false;
    // A peer's copy may have come in the meantime. An item that it lacks was
    // removed after the listing.
    if (copy.position.era != position_.era ||
        copy.position.revision >= position_.revision)
        take_copy(copy);
    check_claims(listing_basis_);
    listed_items_.clear();
    phase_ = phase::watching;
    set_confirmed(listing_time_);
}

std::optional<return_evidence>
store_follower::find_contradiction(std::uint64_t end_revision) const
{
    if (!is_complete())
        return std::nullopt;
    if (listing_position_.revision < listing_basis_.known_revision)
        return return_evidence::lower_revision;
    if (items_.is_ahead_of(
            listed_items_, listing_basis_.position.revision, end_revision))
        return return_evidence::older_item;
    return std::nullopt;
}

void store_follower::apply_changes(store_answer&& answer)
{
    if (era_of(answer.reported_era) != position_.era ||
        answer.revision < call_basis_.known_revision)
    {
        restart_listing();
        delay_repeated_call();
        return;
    }
    feed_message changes;
    changes.era = position_.era;
    changes.base_revision = position_.revision;
    for (const auto& it : answer.items)
    {
        if (items_.apply(it))
            listener_.item_changed(it);
        else
            ++counts_.unchanged_items;
    }
    const auto has_advanced = answer.revision > position_.revision;
    advance_revision(answer.revision);
    check_claims(call_basis_);
    const auto now = clock_.now();
    set_confirmed(now);
    const auto is_early = now - call_start_time_ < call_wait_time_ / 2;
    if (is_early && !has_advanced)
        delay_repeated_call();
    else
    {
        fruitless_count_ = 0;
        if (is_early || has_advanced)
            earliest_call_time_ = now + pause_between_watches;
    }
    if (answer.items.empty())
        return;
    changes.last_revision = position_.revision;
    changes.settling_time_left =
        std::max(duration::zero(), settling_end_ - now);
    changes.items = std::move(answer.items);
    listener_.push(changes);
}

void store_follower::take_copy(const store_copy& copy)
{
    const auto is_first = !is_complete();
    const auto before = position_;
    const auto is_new_era = copy.position.era != before.era;
    // The first number that the store states is no sign of a return.
    const auto is_return =
        is_new_era && !is_first &&
        (before.era.reported != 0 || copy.position.era.reported == 0 ||
         copy.position.revision < before.revision ||
         items_.is_ahead_of(
             copy.items, before.revision, copy.position.revision));
    std::vector<store_item> changed_items;
    if (is_return || (is_new_era && !copy.retained_items.empty()))
        changed_items = items_.start_era(
            {copy.items, copy.position.revision, copy.retained_items,
             copy.settling_end, copy.retention_end},
            clock_.now());
    else
        changed_items = items_.apply_listing(
            copy.items, copy.position.revision, before.revision);
    if (is_new_era)
    {
        position_.era = copy.position.era;
        stated_revision_ = 0;
        if (is_return)
            position_.revision = copy.position.revision;
    }
    // An instance that starts does not know when the era began.
    if (is_return || is_first)
        retention_end_ = copy.retention_end;
    if (is_return)
    {
        settling_end_ = std::max(settling_end_, copy.settling_end);
        are_claims_refuted_ = true;
        listener_.store_settling(settling_end_);
    }
    for (const auto& it : changed_items)
        listener_.item_changed(it);
    advance_revision(copy.position.revision);
    if (is_return)
    {
        listener_.store_reverted(
            {copy.evidence, before, position_, items_.retained_items().size()});
        // A return that was inferred may concern another history than that of
        // the peer.
        if (copy.evidence == return_evidence::peer)
            is_listing_due_ = position_.era.inferred != 0;
        else
        {
            feed_message notice;
            notice.era = position_.era;
            notice.base_revision = position_.revision;
            notice.last_revision = position_.revision;
            listener_.push(notice);
        }
    }
    if (is_first)
        listener_.store_complete();
}

void store_follower::restart_listing()
{
    phase_ = phase::listing;
    last_page_key_.clear();
}

void store_follower::delay_repeated_call()
{
    const auto now = clock_.now();
    earliest_call_time_ =
        fruitless_count_ == 0 ? now : now + retry_delay(fruitless_count_ - 1);
    ++fruitless_count_;
}

duration store_follower::retry_delay(std::uint32_t repetitions)
{
    const auto delay = std::min<duration>(
        initial_retry_delay * (1U << std::min(repetitions, max_doublings)),
        max_retry_delay);
    return std::chrono::duration_cast<duration>(
        delay * (0.75 + random_fraction() / 2));
}

void store_follower::set_confirmed(time_point time)
{
    confirmation_time_ = std::max(confirmation_time_, time);
}

void store_follower::advance_revision(std::uint64_t revision)
{
    position_.revision = std::max(position_.revision, revision);
    if (newer_peer_ && newer_peer_position_ <= position_)
    {
        newer_peer_.reset();
        pull_time_ = time_point::max();
    }
    if (claimed_revision_ <= position_.revision)
        claim_check_time_ = time_point::max();
    // If peers have completed the copy, watching continues from its revision.
    if (phase_ == phase::listing && last_page_key_.empty() &&
        !is_call_pending_ && !is_listing_due_)
        phase_ = phase::watching;
}

double store_follower::random_fraction()
{
    // A 64-bit linear congruential generator, of which the high bits are used.
    random_state_ =
        random_state_ * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<double>(random_state_ >> 40U) / (1U << 24U);
}

} // namespace turmericlane
