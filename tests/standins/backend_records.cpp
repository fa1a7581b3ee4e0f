#include "backend_records.h"

#include "hits.h"

#include <cassert>

namespace turmericlane::standins
{

backend_records::backend_records(
    std::uint64_t seed, std::chrono::microseconds mean, double sigma)
    : random_(seed)
    // The mean of exp(N(m, sigma^2)) is exp(m + sigma^2 / 2).
    , factor_distribution_(-sigma * sigma / 2, sigma)
    , mean_ns_(std::chrono::duration<double, std::nano>(mean).count())
{
    assert(sigma >= 0);
}

std::chrono::nanoseconds backend_records::draw_service_time()
{
    auto duration_ns = mean_ns_ * factor_distribution_(random_);
    return std::chrono::nanoseconds(static_cast<std::int64_t>(duration_ns));
}

bool backend_records::draw_bool(double probability)
{
    return probability > 0 && draw_uniform() < probability;
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
    auto entries = nlohmann::json::array();
    for (const auto& it : bookings_)
    {
        auto since_epoch = it.time.time_since_epoch();
        auto ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
        entries.push_back(
            {{"request_id", it.request_id},
             {"server", it.server},
             {"time_ms", ms.count()},
             {"body", it.body}});
    }
    return entries;
}

} // namespace turmericlane::standins
