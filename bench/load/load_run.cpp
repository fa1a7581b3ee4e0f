#include "load_run.h"

#include <algorithm>
#include <thread>

namespace turmericlane::load
{

using std::chrono::steady_clock;

namespace
{

/** Delay from which a request counts as begun late. */
constexpr std::chrono::milliseconds late_start{5};

/** Delay from which a request is left out, so that a stream that is too much
    for the threads still ends in time. */
constexpr std::chrono::milliseconds longest_delay{500};

} // namespace

load_run::load_run(const load_options& settings, const bundle& from)
    : settings_(settings)
    , plan_(plan_arrivals(settings, from))
    , check_(from)
    , searches_(pool_, check_, judge_, report_)
    , bookings_(pool_, judge_, report_)
{
    for (std::size_t n = 0; n < settings.callers; ++n)
    {
        auto first = settings.instances;
        // Each caller asks another instance first.
        std::rotate(
            first.begin(),
            first.begin() + static_cast<std::ptrdiff_t>(n % first.size()),
            first.end());
        views_.push_back(
            std::make_unique<instance_view>(pool_, std::move(first)));
    }
}

bool load_run::run()
{
    std::vector<std::thread> threads;
    auto start = steady_clock::now();
    for (std::size_t n = 0; n < settings_.threads; ++n)
        threads.emplace_back([this, start] { work(start); });
    for (auto& it : threads)
        it.join();
    if (!settings_.control)
        return true;
    std::this_thread::sleep_for(settings_.settle);
    auto judged = judge_.judge(pool_, *settings_.control);
    if (!judged)
        return false;
    report_.add(judged->violations);
    report_.set_executed_bookings(judged->executed_bookings);
    return true;
}

const load_report& load_run::report() const noexcept
{
    return report_;
}

void load_run::work(steady_clock::time_point start)
{
    for (auto n = next_++; n < plan_.size(); n = next_++)
    {
        const auto& it = plan_[n];
        auto due = start + it.at;
        std::this_thread::sleep_until(due);
        auto delay = steady_clock::now() - due;
        if (delay > longest_delay)
        {
            report_.add_not_sent();
            continue;
        }
        if (delay > late_start)
            report_.add_late_start();
        auto& view = *views_[it.caller];
        if (it.booking)
            bookings_.send(it, view);
        else
            searches_.send(it, view, due);
    }
}

} // namespace turmericlane::load
