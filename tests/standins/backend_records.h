#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace turmericlane::standins
{

/** A booking that a backend server executed. */
struct executed_booking
{
    std::string request_id;
    /** Address and port of the backend server. */
    std::string server;
    std::chrono::system_clock::time_point time;
    std::string body;
};

/** Records of all backend servers of the process: the journal of bookings and
    the queries that ran. Also their source of random numbers.

    @see backend_server
*/
class backend_records
{
public:
    /** Prepares service times with a log-normal distribution.
        @param mean   mean service time; 0 for requests that take no time
        @param sigma  standard deviation of the logarithm */
    backend_records(
        std::uint64_t seed, std::chrono::microseconds mean, double sigma);

    /** Draws a service time. */
    std::chrono::nanoseconds draw_service_time();

    /** Draws true with a probability from 0 to 1. */
    bool draw_bool(double probability);

    /** Draws a number from 0 up to, but not including, 1. */
    double draw_uniform();

    /** Records that a booking started to run. */
    void add_booking(executed_booking booking);

    /** Records that a search was received.
        @returns true if it is the first with this query for this group */
    bool add_received(
        std::string_view query,
        std::string_view service,
        std::uint32_t partition);

    /** Records that a search started to run. */
    void add_query(const std::string& query);

    /** True if a search with this query ran on any server. */
    bool has_run(const std::string& query) const;

    /** Returns the bookings in the order in which they ran. */
    nlohmann::json journal() const;

private:
    std::mt19937_64 random_;
    std::lognormal_distribution<double> factor_distribution_;
    double mean_ns_;
    std::vector<executed_booking> bookings_;
    std::unordered_set<std::string> queries_;
    /** Hashes of query, service and partition. */
    std::unordered_set<std::uint64_t> received_;
};

} // namespace turmericlane::standins
