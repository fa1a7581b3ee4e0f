#include "run_judge.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace turmericlane::load
{

using json = nlohmann::json;

namespace
{

constexpr std::chrono::seconds control_time_limit{10};

/** Parses a reply of the control port; null if there is none. */
json read_reply(const exchange& reply)
{
    if (reply.state != exchange_state::replied || reply.status != 200)
        return nullptr;
    return json::parse(reply.body, nullptr, false);
}

/** Returns the booking key in a text, "bk-<seed>-<number>.", or nothing. */
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

void run_judge::note_refused_search(std::string query)
{
    std::lock_guard lock(mutex_);
    refused_searches_.push_back(std::move(query));
}

void run_judge::note_booking(std::string key, std::vector<std::string> verdicts)
{
    std::lock_guard lock(mutex_);
    bookings_[std::move(key)] = std::move(verdicts);
}

std::optional<run_judge::judgement>
run_judge::judge(client_pool& pool, const endpoint& control) const
{
    std::lock_guard lock(mutex_);
    judgement made;
    if (!judge_searches(pool, control, made) ||
        !judge_bookings(pool, control, made))
        return std::nullopt;
    return made;
}

bool run_judge::judge_searches(
    client_pool& pool, const endpoint& control, judgement& made) const
{
    constexpr std::size_t chunk = 1000;
    for (std::size_t at = 0; at < refused_searches_.size(); at += chunk)
    {
        auto end = std::min(refused_searches_.size(), at + chunk);
        auto queries = json::array();
        for (auto n = at; n < end; ++n)
            queries.push_back(refused_searches_[n]);
        auto reply = read_reply(pool.post(
            control, "/control/executed", json{{"queries", queries}}.dump(),
            control_time_limit));
        if (!reply.is_object() || !reply.contains("executed"))
            return false;
        for (const auto& it : reply["executed"])
            made.violations.push_back(
                {violation::ran_after_not_run,
                 "search " + it.get<std::string>()});
    }
    return true;
}

bool run_judge::judge_bookings(
    client_pool& pool, const endpoint& control, judgement& made) const
{
    auto journal =
        read_reply(pool.get(control, "/control/journal", control_time_limit));
    if (!journal.is_array())
        return false;
    std::map<std::string, std::uint64_t> runs;
    for (const auto& it : journal)
        ++runs[find_key(it.value("body", ""))];
    for (const auto& [key, verdicts] : bookings_)
    {
        auto found = runs.find(key);
        auto count = found == runs.end() ? 0 : found->second;
        made.executed_bookings += count;
        if (count > 1)
            made.violations.push_back(
                {violation::ran_twice, "booking " + key + " ran " +
                                           std::to_string(count) + " times"});
        auto refused = std::all_of(
            verdicts.begin(), verdicts.end(),
            [](const auto& it) { return it == "not_run"; });
        if (count > 0 && refused)
            made.violations.push_back(
                {violation::ran_after_not_run, "booking " + key});
        auto ran = std::find(verdicts.begin(), verdicts.end(), "ran");
        if (count == 0 && ran != verdicts.end())
            made.violations.push_back({violation::never_ran, "booking " + key});
    }
    return true;
}

} // namespace turmericlane::load
