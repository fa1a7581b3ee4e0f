#pragma once

#include "../http/session_counts.h"
#include "json_log.h"

#include <turmericlane_forwarding/turmericlane_forwarding.h>

namespace turmericlane
{

/** What is open at a moment of a shutdown. */
struct shutdown_snapshot
{
    std::string_view phase;
    /** Time since the first termination signal. */
    duration since_signal{};
    /** Requests without an answer. */
    std::size_t pending = 0;
    session_counts sessions;
    /** Smoothed delay of the event loop. */
    duration loop_lag{};
};

/** Writes the steps of a shutdown and the requests that it leaves open to the
    log. The number of lines is bounded; the rate limit of lines about single
    requests does not apply to them.

    @see json_log
*/
class shutdown_recorder
{
public:
    /** Largest number of open requests that are listed. */
    static constexpr std::size_t max_listed_requests = 200;

    /** @param log  must outlive the recorder */
    explicit shutdown_recorder(json_log& log);

    /** A termination signal was received. */
    void on_signal(const shutdown_snapshot& snapshot);

    /** The shutdown entered a phase. */
    void on_phase(const shutdown_snapshot& snapshot);

    /** The shutdown ends.
        @param cut_off   requests that were still open
        @param unlisted  of these, the ones that on_open_request does not
                         follow for */
    void on_stop(
        const shutdown_snapshot& snapshot,
        std::size_t cut_off,
        std::size_t unlisted);

    /** A request is open at the end of the shutdown.
        @param request_id    id that the caller has given it
        @param since_signal  time since the first termination signal */
    void on_open_request(
        const open_request& request,
        std::string_view request_id,
        std::string_view route_name,
        duration since_signal);

    /** The event loop is about to stop. */
    void on_loop_end(const shutdown_snapshot& snapshot);

private:
    void write(
        gateway_event event,
        const shutdown_snapshot& snapshot,
        std::initializer_list<log_field> further_fields);

    json_log& log_;
    std::size_t signal_count_ = 0;
};

} // namespace turmericlane
