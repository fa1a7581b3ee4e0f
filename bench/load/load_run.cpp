#include "load_run.h"

#include <algorithm>
#include <thread>

namespace turmericlane::load
{

using std::chrono::steady_clock;

namespace
{

/** Delay above which a request counts as sent late. */
constexpr std::chrono::milliseconds late_start_delay{5};

/** Delay above which a request is skipped, so that a run whose rate is too high
    for the threads still ends in time. */
constexpr std::chrono::milliseconds max_start_delay{500};

} // namespace

load_run::load_run(const load_options& settings, const bundle& configuration)
    : settings_(settings)
    , plan_(plan_arrivals(settings, configuration))
    , checker_(configuration)
    , search_caller_(pool_, checker_, verifier_, report_)
    , booking_caller_(pool_, verifier_, report_)
{
    for (std::size_t n = 0; n < settings.caller_count; ++n)
    {
        auto initial_instances = settings.instances;
        // Each caller starts with another instance.
        std::rotate(
            initial_instances.begin(),
            initial_instances.begin() +
                static_cast<std::ptrdiff_t>(n % initial_instances.size()),
            initial_instances.end());
        instance_caches_.push_back(std::make_unique<instance_cache>(
            pool_, std::move(initial_instances)));
    }
}

bool load_run::run()
{
    std::vector<std::thread> threads;
    auto start = steady_clock::now();
    for (std::size_t n = 0; n < settings_.thread_count; ++n)
        threads.emplace_back([this, start] { send_arrivals(start); });
    for (auto& it : threads)
        it.join();
    if (!settings_.control)
        return true;
    std::this_thread::sleep_for(settings_.settle_time);
    auto verification = verifier_.verify(pool_, *settings_.control);
    if (!verification)
        return false;
    report_.add(verification->violations);
    report_.set_executed_bookings(verification->executed_bookings);
    return true;
}

const load_report& load_run::report() const noexcept
{
    return report_;
}

void load_run::send_arrivals(steady_clock::time_point start)
{
    for (auto n = next_arrival_++; n < plan_.size(); n = next_arrival_++)
    {
        const auto& it = plan_[n];
        auto due_time = start + it.offset;
        std::this_thread::sleep_until(due_time);
        auto delay = steady_clock::now() - due_time;
        if (delay > max_start_delay)
        {
            report_.add_not_sent();
            continue;
        }
        if (delay > late_start_delay)
            report_.add_late_start();
        auto& instances = *instance_caches_[it.caller_index];
        if (it.is_booking)
            booking_caller_.send(it, instances);
        else
            search_caller_.send(it, instances, due_time);
    }
}

} // namespace turmericlane::load
