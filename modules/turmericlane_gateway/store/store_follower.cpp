#include "store_follower.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** A page is answered in milliseconds; a lost answer is asked for again. */
constexpr auto page_deadline = 1200ms;
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
constexpr auto pause_between_watches = 30ms;

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
    , jitter_(seed)
    , watch_time_(shortest_watch)
{
}

void store_follower::start()
{
    call();
}

void store_follower::on_answer(store_answer&& answer)
{
    calling_ = false;
    failures_ = 0;
    last_answer_ = clock_.now();
    if (lost_)
    {
        lost_ = false;
        listener_.store_returned();
    }
    if (phase_ == phase::listing)
    {
        take_page(std::move(answer));
        call();
        return;
    }
    const auto changed = !answer.changes.empty();
    for (auto& it : answer.changes)
        listener_.store_changed(std::move(it));
    revision_ = std::max(revision_, answer.revision);
    if (changed)
        retry_at_ = clock_.now() + pause_between_watches;
    else
        call();
}

void store_follower::on_failure(store_failure why)
{
    calling_ = false;
    if (why == store_failure::history_lost)
    {
        phase_ = phase::listing;
        after_.clear();
        call();
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
    jitter_ = jitter_ * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto spread = static_cast<double>(jitter_ >> 40U) / (1U << 24U);
    retry_at_ = clock_.now() + std::chrono::duration_cast<duration>(
                                   span * (0.75 + spread / 2));
}

void store_follower::on_newer_version()
{
    if (phase_ == phase::watching && !calling_)
        retry_at_ = clock_.now();
}

void store_follower::set_instances(
    std::uint32_t instances, double calls_per_second)
{
    const auto wanted = std::chrono::duration<double>(
        instances / std::max(1.0, calls_per_second * watch_share));
    watch_time_ = std::clamp<duration>(
        std::chrono::duration_cast<duration>(wanted), shortest_watch,
        longest_watch);
}

void store_follower::on_timer()
{
    if (clock_.now() < retry_at_)
        return;
    call();
}

void store_follower::call()
{
    retry_at_ = time_point::max();
    calling_ = true;
    if (phase_ == phase::listing)
        reader_.read_page(after_, page_deadline);
    else
        reader_.watch(revision_, watch_time_, watch_time_ + watch_slack);
}

void store_follower::take_page(store_answer&& answer)
{
    if (after_.empty())
    {
        list_revision_ = answer.revision;
        searchers_.clear();
    }
    for (auto& it : answer.changes)
    {
        if (auto* entry = std::get_if<searcher_entry>(&it))
            searchers_.push_back(std::move(*entry));
        else if (std::holds_alternative<route_configuration>(it))
            listener_.store_changed(std::move(it));
    }
    if (answer.more && !answer.last_key.empty())
    {
        after_ = std::move(answer.last_key);
        return;
    }
    listener_.store_listed(searchers_);
    searchers_.clear();
    after_.clear();
    listed_ = true;
    revision_ = list_revision_;
    phase_ = phase::watching;
}

} // namespace turmericlane
