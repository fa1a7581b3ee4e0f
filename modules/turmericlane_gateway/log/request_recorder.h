#pragma once

#include "../gateway/gateway_metrics.h"
#include "../http/connection_report.h"
#include "json_log.h"

namespace turmericlane
{

/** A request that has ended, as it is recorded. */
struct ended_request
{
    /** Id that the caller has given it. */
    std::string_view request_id;
    std::string_view route_name;
    duration target_latency{};
    /** Time from the arrival of the request to its end. */
    duration latency{};
    /** Version of the configuration in force. */
    std::uint64_t configuration_version = 0;
    /** Smoothed delay with which the event loop runs its timers. */
    duration loop_lag{};
    /** True if it was open at the end of a shutdown and listed then: its line
        is written without sampling and rate limit. */
    bool is_listed = false;
};

/** Reason for answering a request without forwarding it. */
enum class local_refusal : std::uint8_t
{
    /** The instance is shutting down. */
    leaving,
    /** The instance does not have a configuration and the searchers yet. */
    no_state,
    no_route,
    /** The request carries no id. */
    no_request_id
};

/** Returns the name of a reason, as it is written to the log. */
std::string_view to_string(local_refusal value) noexcept;

/** Counts requests and attempts in the metrics and writes them to the log.
    Requests that failed, missed their target latency or lack parts of their
    answer are all logged, of the others only a sample.

    @see json_log, gateway_metrics
*/
class request_recorder
{
public:
    /** Both references must outlive the recorder. */
    request_recorder(json_log& log, gateway_metrics& metrics);

    /** A request was answered, refused or failed. */
    void on_result(const ended_request& request, const forward_result& result);

    /** The caller closed its connection before the answer. */
    void on_abandoned(const ended_request& request);

    /** A request was answered without being forwarded.
        @param request_id             id that the caller has given the request;
                                      may be empty
        @param status                 HTTP status of the answer
        @param retry_after            time after which the caller may retry
        @param configuration_version  version in force; 0 if there is none */
    void on_local_refusal(
        std::string_view request_id,
        local_refusal reason,
        unsigned status,
        duration retry_after,
        std::uint64_t configuration_version);

    /** The connection of a caller ended although its latest request has no
        wholly delivered answer.
        @param request_id  id of that request; may be empty */
    void on_connection_cut(
        std::string_view request_id, const connection_report& report);

    /** The process is about to end: the rate limit does not apply to the lines
        about the next connections.
        @param count  number of connections for which this holds */
    void expect_last_connections(std::size_t count);

    /** Bytes that are not a valid request were received.
        @param status  HTTP status of the answer */
    void on_malformed(unsigned status);

    /** An extra attempt was sent.
        @param is_hedge  true for a hedge, false for a retry */
    void on_extra_attempt(
        const forward_request& request,
        const std::string& service,
        bool is_hedge);

    /** A searcher asked to be sent nothing for some time. */
    void on_quiet_requested(const searcher& target, duration quiet_time);

    /** A header field of a searcher's answer has a value that cannot be used.
        @param name  name of the field */
    void on_odd_field(const searcher& target, std::string_view name);

    /** An answer was given up because of its size. */
    void on_answer_too_large(const searcher& target);

    /** An answer that belongs to no open request was dropped.
        @param has_id  false if it carries no id of a request */
    void on_unmatched_answer(const searcher& target, bool has_id);

    /** An attempt ended without an answer. */
    void on_attempt_failed(
        const forward_request& request,
        const searcher& target,
        attempt_outcome failure);

private:
    void write(
        gateway_event event,
        bool is_rate_limited,
        std::initializer_list<log_field> fields);

    json_log& log_;
    gateway_metrics& metrics_;
    std::uint64_t sampling_counter_ = 0;
    /** Connections left to which the rate limit does not apply. */
    std::size_t last_connections_ = 0;
};

} // namespace turmericlane
