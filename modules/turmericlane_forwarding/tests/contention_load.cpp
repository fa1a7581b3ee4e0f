#include "contention_load.h"

#include <algorithm>
#include <sstream>

namespace turmericlane::tests
{

using namespace std::chrono_literals;

namespace
{

/** Two searchers with two slots and 10 ms of work serve 400 requests a
    second. */
constexpr std::size_t searcher_count = 2;
constexpr std::size_t slot_count = 2;
constexpr double shortest_work_ms = 5.0;
constexpr double longest_work_ms = 15.0;
constexpr auto network_time = 1ms;
/** Number of times that an impatient caller retries. */
constexpr std::uint32_t impatient_retries = 3;
constexpr auto quiet_length = 2s;
constexpr auto step_length = 1ms;

contention_load::kind make_kind(
    std::string_view name,
    std::uint32_t rank,
    duration target,
    duration time_left)
{
    contention_load::kind result;
    result.served_route.name = name;
    result.served_route.rank = rank;
    result.served_route.timeout = 2s;
    result.served_route.target_latency = target;
    result.served_route.max_attempts = 1;
    result.served_route.semantics = execution_semantics::at_most_once;
    result.served_route.services = {{"s", 1.0}};
    result.time_left = time_left;
    result.usual_rate = 125.0;
    return result;
}

} // namespace

contention_load::contention_load(
    engine_simulation& simulation, std::vector<kind> kinds, std::uint64_t seed)
    : simulation_(simulation)
    , kinds_(std::move(kinds))
    , counts_(kinds_.size())
    , next_arrivals_(kinds_.size())
    , random_(seed)
    , work_random_(seed + 1)
{
    for (std::size_t i = 0; i < searcher_count; ++i)
        add_searcher(i);
}

void contention_load::add_searcher(std::size_t index)
{
    const auto id = "s-" + std::to_string(index);
    simulation_.add_searcher("s", id)->set_max_in_flight(4);
    slots_.emplace_back(slot_count);
    simulation_.scripts[id] = [this, index]
    {
        auto& slots = slots_[index];
        auto& slot = *std::min_element(slots.begin(), slots.end());
        std::uniform_real_distribution<double> work(
            shortest_work_ms, longest_work_ms);
        const auto now = simulation_.time.now();
        slot =
            std::max(slot, now) +
            std::chrono::duration_cast<duration>(
                std::chrono::duration<double, std::milli>(work(work_random_)));
        engine_simulation::behaviour result;
        result.delay = slot - now + network_time;
        return result;
    };
}

void contention_load::run(std::size_t bursts, duration burst_length)
{
    for (std::size_t i = 0; i < bursts; ++i)
    {
        run_phase(quiet_length, false);
        run_phase(burst_length, true);
    }
    run_phase(quiet_length, false);
}

void contention_load::run_phase(duration length, bool is_burst)
{
    const auto start_time = simulation_.time.now();
    const auto end = start_time + length;
    std::fill(next_arrivals_.begin(), next_arrivals_.end(), start_time);
    while (simulation_.time.now() < end)
        step(is_burst);
}

void contention_load::step(bool is_burst)
{
    const auto now = simulation_.time.now();
    for (std::size_t i = 0; i < kinds_.size(); ++i)
    {
        const auto& it = kinds_[i];
        const auto rate = is_burst ? it.burst_rate : it.usual_rate;
        if (rate <= 0.0)
            continue;
        std::exponential_distribution<double> gap(rate);
        while (next_arrivals_[i] <= now)
        {
            next_arrivals_[i] += std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(gap(random_)));
            caller sender;
            sender.kind_index = i;
            sender.label = "r" + std::to_string(++last_caller_);
            sender.is_impatient =
                std::bernoulli_distribution(it.impatient_share)(random_);
            sender.is_counted = is_burst;
            if (is_burst)
                ++counts_[i].callers;
            start(std::move(sender));
        }
    }
    std::vector<caller> returning;
    std::erase_if(
        returns_,
        [&](const arrival& it)
        {
            if (it.due_time > now)
                return false;
            returning.push_back(it.sender);
            return true;
        });
    for (auto& it : returning)
        start(std::move(it));
    simulation_.run_for(step_length);
    read_results();
}

void contention_load::start(caller sender)
{
    const auto& sent_kind = kinds_[sender.kind_index];
    if (sender.is_counted)
        ++counts_[sender.kind_index].requests;
    const auto id = simulation_.start_request(
        sent_kind.served_route, sent_kind.time_left, sender.label);
    open_requests_.emplace(id, std::move(sender));
}

void contention_load::read_results()
{
    for (auto& [id, result] : std::exchange(simulation_.results, {}))
    {
        const auto sender = open_requests_.extract(id).mapped();
        const auto latency = simulation_.latencies[id];
        auto& counted = counts_[sender.kind_index];
        const auto& target =
            kinds_[sender.kind_index].served_route.target_latency;
        const auto is_refused = result.execution == outcome::not_run;
        if (is_refused)
        {
            if (sender.is_counted)
            {
                ++counted.refusals;
                if (latency > target / 4)
                    ++counted.late_refusals;
            }
            handle_refusal(sender, result);
            continue;
        }
        if (!sender.is_counted)
            continue;
        if (sender.has_returned)
            ++counted.returns_admitted;
        if (result.failure != forward_failure::none)
            ++counted.failed;
        else
            ++(latency <= target ? counted.in_time : counted.late);
    }
    simulation_.latencies.clear();
    simulation_.attempts.clear();
}

void contention_load::handle_refusal(
    caller sender, const forward_result& result)
{
    const auto now = simulation_.time.now();
    auto& counted = counts_[sender.kind_index];
    const auto max_delay = kinds_[sender.kind_index].time_left / 3;
    if (sender.is_impatient && sender.retries < impatient_retries)
    {
        ++sender.retries;
        returns_.push_back({now, std::move(sender)});
        return;
    }
    if (!sender.is_impatient && sender.retries == 0 &&
        result.retry_after > duration::zero() &&
        result.retry_after <= max_delay)
    {
        ++sender.retries;
        sender.has_returned = true;
        if (sender.is_counted)
            ++counted.returns;
        returns_.push_back({now + result.retry_after, std::move(sender)});
        return;
    }
    if (sender.is_counted)
        ++counted.refused;
}

double contention_load::served() const
{
    double answered = 0.0;
    double callers = 0.0;
    for (const auto& it : counts_)
    {
        answered += it.in_time + it.late;
        callers += it.callers;
    }
    return callers > 0.0 ? answered / callers : 1.0;
}

std::string contention_load::text() const
{
    std::ostringstream result;
    for (std::size_t i = 0; i < kinds_.size(); ++i)
    {
        const auto& it = counts_[i];
        result << kinds_[i].served_route.name << " callers " << it.callers
               << " in time " << it.in_time << " late " << it.late
               << " refused " << it.refused << " failed " << it.failed
               << " requests " << it.requests << " refusals " << it.refusals
               << " of these late " << it.late_refusals << " returns "
               << it.returns << " admitted " << it.returns_admitted << "; ";
    }
    return result.str();
}

contention_load::kind make_urgent_kind()
{
    auto result = make_kind("urgent", 0, 100ms, 600ms);
    result.burst_rate = 1.8 * result.usual_rate;
    return result;
}

contention_load::kind make_archive_kind()
{
    auto result = make_kind("archive", 2, 400ms, 2s);
    result.burst_rate = 2.6 * result.usual_rate;
    return result;
}

} // namespace turmericlane::tests
