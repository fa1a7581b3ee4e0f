#include "follow_monitor.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Age of the last confirmation from which on the store is not followed. An
    instance that is not confirmed by its peers reads the store itself after 3 s
    and a little more for its position. */
constexpr auto max_confirmation_age = 5000ms;
/** Time by which the age may exceed the wait time of a watch: its timeout and
    the exchange between peers. */
constexpr auto watch_margin = 2000ms;
/** Time for which answers may not be taken, for example while a peer's changes
    overtake those of the store. */
constexpr auto max_untaken_time = 2000ms;
/** Time after which an answer that was not taken says nothing any more. */
constexpr auto untaken_memory = 5000ms;
constexpr auto report_period = 10s;

} // namespace

std::string_view to_string(follow_trouble value) noexcept
{
    switch (value)
    {
    case follow_trouble::none:
        return "none";
    case follow_trouble::unconfirmed:
        return "unconfirmed";
    case follow_trouble::history_lost:
        return "history_lost";
    case follow_trouble::answer_behind:
        return "answer_behind";
    case follow_trouble::answer_refused:
        return "answer_refused";
    }
    return "unknown";
}

follow_monitor::follow_monitor(const clock& time, follow_listener& listener)
    : clock_(time)
    , listener_(listener)
    , confirmation_time_(time.now())
{
}

void follow_monitor::on_confirmed(time_point time)
{
    confirmation_time_ = std::max(confirmation_time_, time);
}

void follow_monitor::on_answer_taken()
{
    answer_trouble_ = follow_trouble::none;
    answered_revision_ = 0;
    failure_.reset();
}

void follow_monitor::on_answer_behind(std::uint64_t answered_revision)
{
    answered_revision_ = answered_revision;
    on_answer_not_taken(follow_trouble::answer_behind);
}

void follow_monitor::on_answer_refused(std::uint64_t answered_revision)
{
    answered_revision_ = answered_revision;
    on_answer_not_taken(follow_trouble::answer_refused);
}

void follow_monitor::on_failure(store_failure cause)
{
    failure_ = cause;
    if (cause == store_failure::history_lost)
        on_answer_not_taken(follow_trouble::history_lost);
}

void follow_monitor::on_answer_not_taken(follow_trouble why)
{
    const auto now = clock_.now();
    if (answer_trouble_ == follow_trouble::none ||
        now - last_untaken_ > untaken_memory)
    {
        answer_trouble_ = why;
        first_untaken_ = now;
    }
    // A lost history and a listing that is behind alternate; the listing tells
    // more.
    answer_trouble_ = std::max(answer_trouble_, why);
    last_untaken_ = now;
}

follow_trouble follow_monitor::find_trouble(duration watch_wait_time) const
{
    const auto now = clock_.now();
    // Only answers extend the time: a listing after a lost history may take
    // longer.
    if (answer_trouble_ != follow_trouble::none &&
        last_untaken_ - first_untaken_ >= max_untaken_time &&
        now - last_untaken_ <= untaken_memory)
        return answer_trouble_;
    const auto limit = std::max<duration>(
        max_confirmation_age, watch_wait_time + watch_margin);
    return now - confirmation_time_ > limit ? follow_trouble::unconfirmed
                                            : follow_trouble::none;
}

void follow_monitor::check(
    std::uint64_t held_revision, duration watch_wait_time)
{
    const auto now = clock_.now();
    const auto trouble = find_trouble(watch_wait_time);
    if (trouble == follow_trouble::none)
    {
        if (trouble_ != follow_trouble::none)
        {
            trouble_ = trouble;
            listener_.store_followed(now - trouble_start_);
        }
        return;
    }
    if (trouble_ == follow_trouble::none)
    {
        trouble_start_ = trouble == follow_trouble::unconfirmed
                             ? confirmation_time_
                             : first_untaken_;
        next_report_ = now;
    }
    trouble_ = trouble;
    if (now < next_report_)
        return;
    next_report_ = now + report_period;
    listener_.store_not_followed(
        {trouble, now - trouble_start_, held_revision, answered_revision_,
         failure_});
}

} // namespace turmericlane
