#include "room_control.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Part of the target for which a request may wait, after its work: the rest is
    for estimates that are too low. */
constexpr double wait_safety = 0.7;
/** The same for a request that comes back earlier than it was told. */
constexpr double early_wait_safety = 0.2;
/** Part of the target for which any request may wait: one whose work alone
    takes most of the target is not refused because of a short wait. */
constexpr double min_wait_share = 0.1;
/** Part of a caller's time within which it comes back if it is told to. */
constexpr double honoured_share = 0.32;
constexpr auto min_retry_after = 50ms;
/** Part of a rank's room that is promised to returning callers; the rest is for
    new ones. */
constexpr double promised_share = 0.5;
/** Time before its start in which room is kept for a return, as a share of the
    target. */
constexpr double reservation_share = 0.25;

duration scale(duration time, double factor)
{
    return std::chrono::duration_cast<duration>(time * factor);
}

/** Returns the value that is exceeded by all but n of the values.
    @param values  not empty; their order changes
    @param n       1 to their number */
template <class Value>
Value nth_smallest(std::vector<Value>& values, std::size_t n)
{
    assert(n >= 1 && n <= values.size());
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(n) - 1;
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

duration longest_wait(const room_control::request_terms& terms, double safety)
{
    return std::max(
        scale(terms.target_time - terms.work_time, safety),
        scale(terms.target_time, min_wait_share));
}

} // namespace

room_control::room_control(const clock& time, const waiting_work& work)
    : clock_(time)
    , work_(work)
{
}

service_room::waiting_counts
room_control::count_waiting(const std::string& service) const
{
    service_room::waiting_counts result;
    if (const auto* const ranks = work_.find(service))
    {
        for (const auto& [rank, parts] : *ranks)
        {
            if (!parts.empty())
                result[rank] = parts.size();
        }
    }
    return result;
}

duration
room_control::expected_wait(const request_terms& terms, double reserved)
{
    const auto rank = terms.request->matched_route->rank;
    std::vector<duration> waits;
    waits.reserve(terms.demands.size());
    for (const auto& it : terms.demands)
    {
        const auto waiting = count_waiting(it.service);
        const auto own = waiting.find(rank);
        auto own_ahead = reserved;
        if (own != waiting.end())
            own_ahead += static_cast<double>(own->second);
        waits.push_back(rooms_[it.service].expected_wait(
            rank, own_ahead, waiting, it.throughput, clock_.now()));
    }
    return nth_smallest(waits, terms.needed_demands);
}

bool room_control::is_ahead_of_more_urgent(const request_terms& terms)
{
    const auto rank = terms.request->matched_route->rank;
    return std::any_of(
        terms.demands.begin(), terms.demands.end(),
        [&](const demand& it) {
            return rooms_[it.service].is_ahead_of_more_urgent(
                rank, clock_.now());
        });
}

std::optional<duration> room_control::try_refuse(const request_terms& terms)
{
    const auto now = clock_.now();
    const auto& request = *terms.request;
    const auto& matched_route = *request.matched_route;
    const auto kind = returns_.classify(request.label, now);
    // A repeated request is not a further demand for room.
    if (kind == promised_returns::arrival::first)
    {
        for (const auto& it : terms.demands)
            rooms_[it.service].on_asked(matched_route.rank, now);
    }
    const auto is_due = kind == promised_returns::arrival::due;
    const auto horizon = scale(matched_route.target_latency, reservation_share);
    const auto reserved =
        is_due ? 0.0
               : returns_.expected(matched_route.name, now + horizon, now);
    const auto wait = expected_wait(terms, 0.0);
    const auto wait_with_returns =
        reserved > 0.0 ? expected_wait(terms, reserved) : wait;
    const auto limit = longest_wait(
        terms, kind == promised_returns::arrival::early ? early_wait_safety
                                                        : wait_safety);
    // Where nothing waits, every request can start at once.
    const auto is_late =
        wait > duration::zero() && terms.lag + wait_with_returns > limit;
    const auto is_lagging = terms.lag > limit;
    const auto yields =
        !is_due && wait > duration::zero() && is_ahead_of_more_urgent(terms);
    if (is_late || is_lagging || yields)
        return promise_return(terms, std::max(wait, terms.lag));
    returns_.on_admitted(request.label);
    for (const auto& it : terms.demands)
        rooms_[it.service].on_admitted(matched_route.rank, now);
    return std::nullopt;
}

duration room_control::on_dropped(const request_terms& terms)
{
    for (const auto& it : terms.demands)
        rooms_[it.service].on_dropped(
            terms.request->matched_route->rank, clock_.now());
    return promise_return(terms, expected_wait(terms, 0.0));
}

duration room_control::promise_return(const request_terms& terms, duration wait)
{
    const auto now = clock_.now();
    const auto& request = *terms.request;
    std::vector<double> rates;
    rates.reserve(terms.demands.size());
    for (const auto& it : terms.demands)
        rates.push_back(
            it.throughput * rooms_[it.service].expected_share(
                                request.matched_route->rank,
                                count_waiting(it.service), it.throughput, now));
    // The slowest of the services that the request needs.
    const auto rate =
        nth_smallest(rates, rates.size() - terms.needed_demands + 1);
    const auto excess = wait - longest_wait(terms, wait_safety);
    const auto first = std::max<duration>(min_retry_after, excess);
    const auto last = std::max(first, scale(request.time_left, honoured_share));
    return returns_.promise(
        request.label, request.matched_route->name, first, last,
        rate * promised_share, now);
}

void room_control::on_started(const std::string& service, std::uint32_t rank)
{
    rooms_[service].on_started(rank, clock_.now());
}

std::uint32_t room_control::next_rank(
    const std::string& service, std::span<const std::uint32_t> waiting_ranks)
{
    return rooms_[service].next_rank(waiting_ranks, clock_.now());
}

std::vector<waiting_part> room_control::find_unservable(
    const std::string& service, std::uint32_t rank, double throughput)
{
    std::vector<waiting_part> result;
    const auto* const ranks = work_.find(service);
    if (ranks == nullptr || !ranks->contains(rank))
        return result;
    const auto now = clock_.now();
    const auto waiting = count_waiting(service);
    const auto& parts = ranks->at(rank);
    for (auto i = parts.size(); i-- > 0;)
    {
        if (now > parts[i].refusal_end)
            continue;
        const auto wait = rooms_[service].expected_wait(
            rank, static_cast<double>(i), waiting, throughput, now);
        if (now + wait > parts[i].latest_start)
            result.push_back(parts[i]);
    }
    return result;
}

std::vector<std::pair<std::string, service_room::rank_share>>
room_control::shares()
{
    std::vector<std::pair<std::string, service_room::rank_share>> result;
    for (auto& [service, room] : rooms_)
    {
        for (const auto& it : room.shares(clock_.now()))
            result.emplace_back(service, it);
    }
    return result;
}

} // namespace turmericlane
