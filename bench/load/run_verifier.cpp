#include "run_verifier.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace turmericlane::load
{

using json = nlohmann::json;

namespace
{

constexpr std::chrono::seconds control_timeout{10};

/** Parses a reply of the control port; returns null without a valid reply. */
json read_reply(const exchange& reply)
{
    if (reply.state != exchange_state::replied || reply.status != 200)
        return nullptr;
    return json::parse(reply.body, nullptr, false);
}

/** Returns the booking key in a text, "bk-<seed>-<number>.", or an empty text.
 */
std::string find_key(const std::string& text)
{
    auto begin = text.find("bk-");
    if (begin == std::string::npos)
        return "";
    auto end = text.find('.', begin);
    if (end == std::string::npos)
        return "";
    return text.substr(begin, end + 1 - begin);
}

} // namespace

void run_verifier::record_refused_search(std::string query)
{
    std::lock_guard lock(mutex_);
    refused_searches_.push_back(std::move(query));
}

void run_verifier::record_booking(
    std::string key, std::vector<std::string> verdicts)
{
    std::lock_guard lock(mutex_);
    bookings_[std::move(key)] = std::move(verdicts);
}

std::optional<run_verifier::verification>
run_verifier::verify(client_pool& pool, const endpoint& control) const
{
    std::lock_guard lock(mutex_);
    verification result;
    if (!verify_searches(pool, control, result) ||
        !verify_bookings(pool, control, result))
        return std::nullopt;
    return result;
}

bool run_verifier::verify_searches(
    client_pool& pool, const endpoint& control, verification& result) const
{
    constexpr std::size_t max_batch_size = 1000;
    for (std::size_t batch_start = 0; batch_start < refused_searches_.size();
         batch_start += max_batch_size)
    {
        auto batch_end =
            std::min(refused_searches_.size(), batch_start + max_batch_size);
        auto queries = json::array();
        for (auto n = batch_start; n < batch_end; ++n)
            queries.push_back(refused_searches_[n]);
        auto reply = read_reply(pool.post(
            control, "/control/executed", json{{"queries", queries}}.dump(),
            control_timeout));
        if (!reply.is_object() || !reply.contains("executed"))
            return false;
        for (const auto& it : reply["executed"])
            result.violations.push_back(
                {violation::ran_after_not_run,
                 "search " + it.get<std::string>()});
    }
    return true;
}

bool run_verifier::verify_bookings(
    client_pool& pool, const endpoint& control, verification& result) const
{
    auto journal =
        read_reply(pool.get(control, "/control/journal", control_timeout));
    if (!journal.is_array())
        return false;
    std::map<std::string, std::uint64_t> run_counts;
    for (const auto& it : journal)
        ++run_counts[find_key(it.value("body", ""))];
    for (const auto& [key, verdicts] : bookings_)
    {
        auto found = run_counts.find(key);
        auto count = found == run_counts.end() ? 0 : found->second;
        result.executed_bookings += count;
        if (count > 1)
            result.violations.push_back(
                {violation::ran_twice, "booking " + key + " ran " +
                                           std::to_string(count) + " times"});
        auto is_refused = std::all_of(
            verdicts.begin(), verdicts.end(),
            [](const auto& it) { return it == "not_run"; });
        if (count > 0 && is_refused)
            result.violations.push_back(
                {violation::ran_after_not_run, "booking " + key});
        auto ran_verdict = std::find(verdicts.begin(), verdicts.end(), "ran");
        if (count == 0 && ran_verdict != verdicts.end())
            result.violations.push_back(
                {violation::never_ran, "booking " + key});
    }
    return true;
}

} // namespace turmericlane::load
