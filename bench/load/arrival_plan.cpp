#include "arrival_plan.h"

#include <algorithm>
#include <random>

namespace turmericlane::load
{

namespace
{

/** Draws the arrival times of a Poisson process. */
std::vector<std::chrono::nanoseconds> draw_times(
    double per_second, std::chrono::seconds duration, std::mt19937_64& random)
{
    std::vector<std::chrono::nanoseconds> times;
    if (per_second <= 0)
        return times;
    std::exponential_distribution<double> draw_gap(per_second);
    for (auto time = draw_gap(random);
         time < static_cast<double>(duration.count()); time += draw_gap(random))
        times.emplace_back(static_cast<std::int64_t>(time * 1e9));
    return times;
}

std::vector<std::string>
service_names(const bundle& configuration, bool bookable_only)
{
    std::vector<std::string> names;
    for (const auto& it : configuration.services)
        if (it.bookable || !bookable_only)
            names.push_back(it.name);
    return names;
}

} // namespace

std::vector<arrival>
plan_arrivals(const load_options& settings, const bundle& configuration)
{
    std::mt19937_64 random(settings.seed);
    std::discrete_distribution<std::size_t> draw_rank(
        settings.rank_mix.begin(), settings.rank_mix.end());
    auto bookable_services = service_names(configuration, true);
    auto all_services = service_names(configuration, false);
    auto text_prefix = std::to_string(settings.seed) + '-';
    std::vector<arrival> plan;
    std::uint64_t text_count = 0;
    for (auto offset :
         draw_times(settings.queries_per_second, settings.duration, random))
    {
        arrival result;
        result.offset = offset;
        result.request_rank = all_ranks[draw_rank(random)];
        result.services = result.request_rank == rank::urgent
                              ? bookable_services
                              : all_services;
        result.deadline =
            configuration.ranks[index_of(result.request_rank)].default_deadline;
        result.text = "stall " + text_prefix + std::to_string(text_count++);
        result.caller_index = random() % settings.caller_count;
        plan.push_back(std::move(result));
    }
    for (auto offset :
         draw_times(settings.bookings_per_second, settings.duration, random))
    {
        if (bookable_services.empty())
            break;
        arrival result;
        result.offset = offset;
        result.request_rank = rank::urgent;
        result.is_booking = true;
        result.mode =
            static_cast<booking_mode>(text_count % booking_mode_count);
        result.services = {
            bookable_services[text_count % bookable_services.size()]};
        result.deadline = std::chrono::seconds(1);
        // The verifier searches the journal for the key, which the full stop
        // ends.
        result.text = "bk-" + text_prefix + std::to_string(text_count++) + '.';
        result.caller_index = random() % settings.caller_count;
        plan.push_back(std::move(result));
    }
    std::sort(
        plan.begin(), plan.end(),
        [](const auto& left, const auto& right)
        { return left.offset < right.offset; });
    return plan;
}

} // namespace turmericlane::load
