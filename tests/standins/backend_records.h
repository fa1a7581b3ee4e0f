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
    /** "address:port" of the backend server. */
    std::string server;
    std::chrono::system_clock::time_point time;
    std::string body;
};

/** What all backend servers of the process record and draw from: the journal
    of bookings, the queries that ran, and the random numbers.

    @see backend_server
*/
class backend_records
{
public:
    /** Prepares random service times.
        @param mean   mean service time; zero for none
        @param sigma  standard deviation of the logarithm */
    backend_records(
        std::uint64_t seed, std::chrono::microseconds mean, double sigma);

    /** Draws a service time. */
    std::chrono::nanoseconds draw_service_time();

    /** Draws true with that probability. */
    bool draw(double share);

    /** Draws a number from 0 to 1. */
    double draw_uniform();

    /** Records that a booking began to run. */
    void add_booking(executed_booking booking);

    /** Records that a search was received.
        @returns true if it is the first of this query for this group */
    bool add_received(
        std::string_view query,
        std::string_view service,
        std::uint32_t partition);

    /** Records that a search began to run. */
    void add_query(const std::string& query);

    /** True if a search with that text ran on any server. */
    bool has_run(const std::string& query) const;

    /** The bookings in the order in which they ran. */
    nlohmann::json journal() const;

private:
    std::mt19937_64 random_;
    std::lognormal_distribution<double> factor_;
    double mean_ns_;
    std::vector<executed_booking> bookings_;
    std::unordered_set<std::string> queries_;
    /** Hashes of query, service and partition. */
    std::unordered_set<std::uint64_t> received_;
};

} // namespace turmericlane::standins
