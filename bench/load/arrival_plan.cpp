#include "arrival_plan.h"

#include <algorithm>
#include <random>

namespace turmericlane::load
{

namespace
{

/** Draws the points of a Poisson process. */
std::vector<std::chrono::nanoseconds> draw_times(
    double per_second, std::chrono::seconds duration, std::mt19937_64& random)
{
    std::vector<std::chrono::nanoseconds> times;
    if (per_second <= 0)
        return times;
    std::exponential_distribution<double> gap(per_second);
    for (auto at = gap(random); at < static_cast<double>(duration.count());
         at += gap(random))
        times.emplace_back(static_cast<std::int64_t>(at * 1e9));
    return times;
}

std::vector<std::string> service_names(const bundle& from, bool bookable_only)
{
    std::vector<std::string> names;
    for (const auto& it : from.services)
        if (it.bookable || !bookable_only)
            names.push_back(it.name);
    return names;
}

} // namespace

std::vector<arrival>
plan_arrivals(const load_options& settings, const bundle& from)
{
    std::mt19937_64 random(settings.seed);
    std::discrete_distribution<std::size_t> draw_rank(
        settings.mix.begin(), settings.mix.end());
    auto bookable = service_names(from, true);
    auto every = service_names(from, false);
    auto run = std::to_string(settings.seed) + '-';
    std::vector<arrival> plan;
    std::uint64_t count = 0;
    for (auto at :
         draw_times(settings.queries_per_second, settings.duration, random))
    {
        arrival made;
        made.at = at;
        made.work = all_ranks[draw_rank(random)];
        made.services = made.work == rank::urgent ? bookable : every;
        made.deadline = from.ranks[index_of(made.work)].default_deadline;
        made.text = "stall " + run + std::to_string(count++);
        made.caller = random() % settings.callers;
        plan.push_back(std::move(made));
    }
    for (auto at :
         draw_times(settings.bookings_per_second, settings.duration, random))
    {
        if (bookable.empty())
            break;
        arrival made;
        made.at = at;
        made.work = rank::urgent;
        made.booking = true;
        made.mode = static_cast<booking_mode>(count % booking_mode_count);
        made.services = {bookable[count % bookable.size()]};
        made.deadline = std::chrono::seconds(1);
        // The journal is searched for the key; the full stop ends it.
        made.text = "bk-" + run + std::to_string(count++) + '.';
        made.caller = random() % settings.callers;
        plan.push_back(std::move(made));
    }
    std::sort(
        plan.begin(), plan.end(),
        [](const auto& one, const auto& other) { return one.at < other.at; });
    return plan;
}

} // namespace turmericlane::load
