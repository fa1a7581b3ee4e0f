#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace turmericlane::standins
{

/** What can be switched on one backend server while it runs.

    @see backend_server
*/
struct backend_behaviour
{
    /** Connections are refused; open ones are closed. */
    bool refuse = false;
    /** New work is refused with 503 draining; queued work finishes. */
    bool draining = false;
    /** Factor on the service time. */
    double slow_factor = 1.0;
    /** Share of work that runs and is never answered. */
    double lose_replies = 0.0;
    /** Share of work that runs and whose connection is then closed. */
    double break_replies = 0.0;
    /** Share of new work that is refused with 503 shed. */
    double shed_share = 0.0;
    /** Queue length above which new work is refused with 503 shed. */
    std::size_t max_queue = 64;
    /** Age up to which the load endpoint repeats an old report. */
    std::chrono::milliseconds load_lag{0};
    /** Utilisation that the load endpoint states in place of the true one. */
    std::optional<double> load_lie;
    /** Duration of the cold start that follows the end of refuse. */
    std::chrono::milliseconds cold_start{2000};
    /** Factor on the service time at the beginning of the cold start. */
    double cold_factor = 4.0;

    /** Applies the members of a JSON object; unknown ones are an error.
        @returns nothing on success, otherwise the member at fault */
    std::optional<std::string> apply(const nlohmann::json& changes);
};

} // namespace turmericlane::standins
