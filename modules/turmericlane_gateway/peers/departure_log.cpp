#include "departure_log.h"

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Longer than entries usually lag behind their searchers. */
constexpr auto retention = 10s;
constexpr std::size_t max_records = 64;

} // namespace

void departure_log::add(departure_message departure, time_point now)
{
    records_.push_back({now, std::move(departure)});
    if (records_.size() > max_records)
        records_.pop_front();
}

std::vector<departure_message> departure_log::recent(time_point now)
{
    while (!records_.empty() && now - records_.front().time > retention)
        records_.pop_front();
    std::vector<departure_message> result;
    result.reserve(records_.size());
    for (const auto& it : records_)
        result.push_back(it.departure);
    return result;
}

} // namespace turmericlane
