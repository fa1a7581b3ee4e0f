#include "store_follower.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Instances that read the store: two may be turned away by it. */
constexpr std::uint32_t readers = 3;
/** Age of the last confirmation at which the next instance in the order reads
    too. It exceeds the time of a watch and of the spread among the peers. */
constexpr auto stale_age = 3000ms;
/** Delay between one instance and the next in the order. */
constexpr auto stale_step = 150ms;
/** A page is answered in milliseconds; a lost answer is asked for again. */
constexpr auto page_deadline = 1200ms;
/** Deadline of the first pages while there is no state: a store that was silent
    is found to be back within a third of a second. It doubles after each three
    failures, for a store that is slow. */
constexpr auto first_page_deadline = 300ms;
constexpr std::uint32_t failures_per_doubling = 3;
/** How long a watch is held in a small fleet: short enough to notice within a
    version's time limit that the connection has gone silent. */
constexpr auto shortest_watch = 1500ms;
constexpr auto longest_watch = 20s;
/** Time beyond its wait after which a watch has failed. */
constexpr auto watch_slack = 800ms;
/** Part of the store's rate of calls that waiting watches may use. */
constexpr double watch_share = 0.1;
constexpr auto first_retry = 60ms;
constexpr auto longest_retry = 800ms;
constexpr std::uint32_t max_doublings = 4;
/** Changes that come in quick succession are read together. */
constexpr auto pause_between_watches = 60ms;
/** A living searcher publishes itself again within two seconds after the
    store's return. */
constexpr auto settling_time = 2200ms;
/** Pulls of many instances are spread over this time. */
constexpr auto pull_spread = 40ms;

} // namespace

std::string_view to_string(store_failure value) noexcept
{
    switch (value)
    {
    case store_failure::unreachable:
        return "unreachable";
    case store_failure::refused:
        return "refused";
    case store_failure::history_lost:
        return "history_lost";
    case store_failure::malformed:
        return "malformed";
    }
    return "unknown";
}

store_follower::store_follower(
    const clock& time,
    store_reader& reader,
    store_listener& listener,
    std::uint64_t seed)
    : clock_(time)
    , reader_(reader)
    , listener_(listener)
    , random_(seed)
    , watch_time_(shortest_watch)
{
}

void store_follower::start(duration patience)
{
    started_ = true;
    call_not_before_ = clock_.now() + patience;
    read_if_due();
}

void store_follower::on_answer(store_answer&& answer)
{
    calling_ = false;
    failures_ = 0;
    const auto now = clock_.now();
    if (lost_)
    {
        lost_ = false;
        settling_until_ = now + settling_time;
        listener_.store_returned();
        listener_.store_settling(settling_until_);
    }
    if (phase_ == phase::listing)
        take_page(std::move(answer));
    else
        take_changes(std::move(answer));
    read_if_due();
}

void store_follower::on_failure(store_failure why)
{
    calling_ = false;
    if (why == store_failure::history_lost)
    {
        phase_ = phase::listing;
        after_.clear();
        read_if_due();
        return;
    }
    if (!lost_)
    {
        lost_ = true;
        listener_.store_lost(why);
    }
    const auto span = std::min<duration>(
        first_retry * (1U << std::min(failures_, max_doublings)),
        longest_retry);
    ++failures_;
    const auto pause =
        std::chrono::duration_cast<duration>(span * (0.75 + jitter() / 2));
    // Without a state each request is refused: the time that a silent store
    // took counts as part of the pause.
    call_not_before_ = complete() ? clock_.now() + pause
                                  : std::max(clock_.now(), called_at_ + pause);
}

void store_follower::on_peer(
    const endpoint& peer, std::uint64_t through, duration age)
{
    if (through <= through_)
    {
        // Nothing newer existed at that time, so this state was complete then.
        if (through > 0)
            confirm(clock_.now() - age);
        return;
    }
    // A reader learns the same from the store itself.
    if (reads() && !lost_ && complete())
        return;
    if (!ahead_ || through >= ahead_through_)
    {
        ahead_ = peer;
        ahead_through_ = through;
    }
    if (pull_at_ == time_point::max() && !pulling_)
        pull_at_ = clock_.now() +
                   std::chrono::duration_cast<duration>(pull_spread * jitter());
}

void store_follower::on_feed(const feed_message& message)
{
    if (message.through <= through_ && !message.complete)
        return;
    if (!message.complete && message.from > through_)
        return;
    const auto first = !complete();
    const auto now = clock_.now();
    if (message.settling > duration::zero())
        listener_.store_settling(now + message.settling);
    if (message.complete)
    {
        for (const auto& it :
             items_.apply_complete(message.items, message.through))
            listener_.item_changed(it);
    }
    else
    {
        for (const auto& it : message.items)
        {
            if (items_.apply(it))
                listener_.item_changed(it);
        }
    }
    advance(message.through);
    confirm(now - message.age);
    if (first)
        listener_.store_complete();
}

void store_follower::on_pulled(const feed_message& message)
{
    pulling_ = false;
    on_feed(message);
}

void store_follower::on_pull_failed()
{
    pulling_ = false;
    ahead_.reset();
    pull_at_ = time_point::max();
}

void store_follower::set_place(
    std::uint32_t place, std::uint32_t instances, double calls_per_second)
{
    place_ = place;
    const auto readers_now = std::min(instances, readers);
    const auto wanted = std::chrono::duration<double>(
        readers_now / std::max(1.0, calls_per_second * watch_share));
    watch_time_ = std::clamp<duration>(
        std::chrono::duration_cast<duration>(wanted), shortest_watch,
        longest_watch);
    read_if_due();
}

void store_follower::on_timer()
{
    read_if_due();
    pull_if_due();
}

time_point store_follower::next_wakeup() const
{
    auto due = pull_at_;
    if (started_ && !calling_)
        due = std::min(due, read_due());
    return due;
}

feed_message store_follower::feed_since(std::uint64_t revision) const
{
    feed_message made;
    made.from = revision;
    made.through = through_;
    made.age = age();
    made.settling = std::max(duration::zero(), settling_until_ - clock_.now());
    auto changed = revision > 0 ? items_.since(revision) : std::nullopt;
    made.complete = !changed.has_value();
    made.items = changed ? std::move(*changed) : items_.existing();
    return made;
}

duration store_follower::age() const
{
    return clock_.now() - confirmed_;
}

bool store_follower::reads() const
{
    return place_ < readers;
}

time_point store_follower::read_due() const
{
    if (reads() || !complete())
        return call_not_before_;
    const auto due = confirmed_ + stale_age + stale_step * (place_ - readers);
    return std::max(call_not_before_, due);
}

void store_follower::read_if_due()
{
    if (started_ && !calling_ && clock_.now() >= read_due())
        call();
}

void store_follower::call()
{
    calling_ = true;
    called_at_ = clock_.now();
    if (phase_ == phase::listing)
        reader_.read_page(after_, page_time());
    else
        reader_.watch(through_, watch_time_, watch_time_ + watch_slack);
}

duration store_follower::page_time() const
{
    if (complete())
        return page_deadline;
    const auto doublings =
        std::min(failures_ / failures_per_doubling, max_doublings);
    return std::min<duration>(
        first_page_deadline * (1U << doublings), page_deadline);
}

void store_follower::take_page(store_answer&& answer)
{
    if (after_.empty())
    {
        list_revision_ = answer.revision;
        listed_.clear();
    }
    std::move(
        answer.items.begin(), answer.items.end(), std::back_inserter(listed_));
    if (answer.more && !answer.last_key.empty())
    {
        after_ = std::move(answer.last_key);
        return;
    }
    after_.clear();
    const auto first = !complete();
    for (const auto& it : items_.apply_complete(listed_, list_revision_))
        listener_.item_changed(it);
    listed_.clear();
    phase_ = phase::watching;
    advance(list_revision_);
    confirm(clock_.now());
    if (first)
        listener_.store_complete();
}

void store_follower::take_changes(store_answer&& answer)
{
    feed_message changes;
    changes.from = through_;
    for (const auto& it : answer.items)
    {
        if (items_.apply(it))
            listener_.item_changed(it);
    }
    advance(answer.revision);
    confirm(clock_.now());
    if (answer.items.empty())
        return;
    call_not_before_ = clock_.now() + pause_between_watches;
    changes.through = through_;
    changes.settling =
        std::max(duration::zero(), settling_until_ - clock_.now());
    changes.items = std::move(answer.items);
    listener_.push(changes);
}

void store_follower::confirm(time_point when)
{
    confirmed_ = std::max(confirmed_, when);
}

void store_follower::advance(std::uint64_t revision)
{
    through_ = std::max(through_, revision);
    if (ahead_ && ahead_through_ <= through_)
    {
        ahead_.reset();
        pull_at_ = time_point::max();
    }
    // A state that peers have completed is watched from there.
    if (phase_ == phase::listing && after_.empty() && !calling_)
        phase_ = phase::watching;
}

void store_follower::pull_if_due()
{
    if (clock_.now() < pull_at_)
        return;
    pull_at_ = time_point::max();
    if (!ahead_ || ahead_through_ <= through_ || pulling_)
        return;
    pulling_ = true;
    listener_.pull(*ahead_, through_);
    ahead_.reset();
}

double store_follower::jitter()
{
    random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<double>(random_ >> 40U) / (1U << 24U);
}

} // namespace turmericlane
