#include "backend_records.h"

#include "hits.h"

#include <cassert>

namespace turmericlane::standins
{

backend_records::backend_records(
    std::uint64_t seed, std::chrono::microseconds mean, double sigma)
    : random_(seed)
    // The mean of exp(N(m, sigma^2)) is exp(m + sigma^2 / 2).
    , factor_(-sigma * sigma / 2, sigma)
    , mean_ns_(std::chrono::duration<double, std::nano>(mean).count())
{
    assert(sigma >= 0);
}

std::chrono::nanoseconds backend_records::draw_service_time()
{
    auto span = mean_ns_ * factor_(random_);
    return std::chrono::nanoseconds(static_cast<std::int64_t>(span));
}

bool backend_records::draw(double share)
{
    return share > 0 && draw_uniform() < share;
}

double backend_records::draw_uniform()
{
    return std::uniform_real_distribution<double>()(random_);
}

void backend_records::add_booking(executed_booking booking)
{
    bookings_.push_back(std::move(booking));
}

bool backend_records::add_received(
    std::string_view query, std::string_view service, std::uint32_t partition)
{
    std::string key(service);
    key.append("/").append(std::to_string(partition)).append("/").append(query);
    return received_.insert(hash_query(key)).second;
}

void backend_records::add_query(const std::string& query)
{
    queries_.insert(query);
}

bool backend_records::has_run(const std::string& query) const
{
    return queries_.contains(query);
}

nlohmann::json backend_records::journal() const
{
    auto made = nlohmann::json::array();
    for (const auto& it : bookings_)
    {
        auto since = it.time.time_since_epoch();
        auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since);
        made.push_back(
            {{"request_id", it.request_id},
             {"server", it.server},
             {"time_ms", ms.count()},
             {"body", it.body}});
    }
    return made;
}

} // namespace turmericlane::standins
