#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace turmericlane::standins
{

/** Behaviour of one backend server, which can be changed while it runs.

    @see backend_server
*/
struct backend_behaviour
{
    /** Refuses new connections and closes those that are open. */
    bool refuse = false;
    /** Rejects new requests with 503 draining; those in the queue finish. */
    bool draining = false;
    /** Factor on the service time. */
    double slow_factor = 1.0;
    /** Share of requests that run and get no reply. */
    double lose_replies = 0.0;
    /** Share of requests that run and whose connection is then closed. */
    double break_replies = 0.0;
    /** Share of new requests that are rejected with 503 shed. */
    double shed_share = 0.0;
    /** Queue length from which on new requests are rejected with 503 shed. */
    std::size_t max_queue = 64;
    /** Age up to which /load repeats its last report. */
    std::chrono::milliseconds load_lag{0};
    /** Utilisation that /load reports in place of the true one. */
    std::optional<double> load_lie;
    /** Duration of the cold start after connections were refused. */
    std::chrono::milliseconds cold_start{2000};
    /** Factor on the service time at the start of the cold start; it falls to 1
        by the end. */
    double cold_factor = 4.0;

    /** Applies the members of a JSON object up to the first one that is unknown
        or of the wrong type.
        @returns the name of that member; nothing if all were applied */
    std::optional<std::string> apply(const nlohmann::json& changes);
};

} // namespace turmericlane::standins
