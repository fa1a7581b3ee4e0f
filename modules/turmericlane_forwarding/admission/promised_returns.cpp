#include "promised_returns.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <xxhash.h>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Returns are counted by slices of this length. */
constexpr auto slice_length = 50ms;
/** A caller that has not come back after this time is not expected any
    more; it is longer than callers wait. */
constexpr auto record_lifetime = 5s;
/** Limits the memory: a record takes about 150 bytes. */
constexpr std::size_t max_records = 4096;
/** Share of the promised returns that are expected to come: some callers retry
    at once instead, and some go to another instance or give up. */
constexpr double return_ratio = 0.7;

std::uint64_t hash(std::string_view label)
{
    return XXH3_64bits(label.data(), label.size());
}

std::int64_t slice_of(time_point time)
{
    return time.time_since_epoch() / slice_length;
}

} // namespace

promised_returns::arrival
promised_returns::classify(std::string_view label, time_point now)
{
    forget_old(now);
    const auto match = records_.find(hash(label));
    if (label.empty() || match == records_.end())
        return arrival::first;
    if (now < match->second.due_time || !match->second.is_promised)
        return arrival::early;
    return arrival::due;
}

void promised_returns::on_admitted(std::string_view label)
{
    const auto match = records_.find(hash(label));
    if (label.empty() || match == records_.end())
        return;
    if (match->second.is_promised)
    {
        auto& counts = slices_[match->second.kind];
        const auto slice = counts.find(slice_of(match->second.due_time));
        if (slice != counts.end() && --slice->second == 0)
            counts.erase(slice);
    }
    records_.erase(match);
}

duration promised_returns::promise(
    std::string_view label,
    const std::string& kind,
    duration first,
    duration last,
    double max_rate,
    time_point now)
{
    forget_old(now);
    const auto key = hash(label);
    const auto match = records_.find(key);
    if (!label.empty() && match != records_.end() &&
        match->second.due_time > now)
        return match->second.due_time - now;
    const auto position =
        static_cast<double>(key) /
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    const auto first_choice =
        now + first +
        std::chrono::duration_cast<duration>((last - first) * position);
    auto& counts = slices_[kind];
    const auto max_count =
        max_rate * std::chrono::duration<double>(slice_length).count();
    // The slices after the first choice, and then those before it.
    const auto begin = slice_of(now + first);
    const auto end = std::max(slice_of(now + last), begin + 1);
    const auto start = std::clamp(slice_of(first_choice), begin, end - 1);
    auto due_time = now + last * 2;
    auto is_promised = false;
    for (std::int64_t i = 0; i < end - begin && last > first; ++i)
    {
        const auto slice = begin + (start - begin + i) % (end - begin);
        const auto count = counts.find(slice);
        // A fraction of a return per slice is spread over the slices.
        const auto limit =
            std::floor(max_count * static_cast<double>(slice + 1)) -
            std::floor(max_count * static_cast<double>(slice));
        if (count != counts.end() && count->second >= limit)
            continue;
        if (limit < 1.0)
            continue;
        const auto offset = first_choice - time_point(slice_length * start);
        due_time = std::clamp(
            time_point(slice_length * slice) + offset, now + first, now + last);
        is_promised = true;
        break;
    }
    if (label.empty() || records_.size() >= max_records)
        return due_time - now;
    if (is_promised)
        ++counts[slice_of(due_time)];
    records_[key] = {due_time, kind, is_promised};
    order_.emplace_back(now, key);
    return due_time - now;
}

double promised_returns::expected(
    const std::string& kind, time_point until, time_point now) const
{
    const auto match = slices_.find(kind);
    if (match == slices_.end())
        return 0.0;
    double result = 0.0;
    const auto first = slice_of(now);
    const auto last = slice_of(until);
    for (const auto& [slice, count] : match->second)
    {
        if (slice >= first && slice <= last)
            result += count;
    }
    return result * return_ratio;
}

void promised_returns::forget_old(time_point now)
{
    while (!order_.empty() && now - order_.front().first > record_lifetime)
    {
        const auto key = order_.front().second;
        order_.pop_front();
        const auto match = records_.find(key);
        if (match == records_.end())
            continue;
        if (match->second.due_time < now)
            records_.erase(match);
        else
            order_.emplace_back(now, key);
    }
    const auto oldest = slice_of(now) - 1;
    if (oldest <= oldest_slice_)
        return;
    oldest_slice_ = oldest;
    for (auto& [kind, counts] : slices_)
        std::erase_if(
            counts, [oldest](const auto& it) { return it.first < oldest; });
}

} // namespace turmericlane
