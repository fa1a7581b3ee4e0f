#pragma once

#include "../gateway/gateway_metrics.h"
#include "json_log.h"

namespace turmericlane
{

/** A request whose end is recorded. */
struct ended_request
{
    /** The caller's id. */
    std::string_view id;
    std::string_view route;
    duration target{};
    /** From its arrival to its answer. */
    duration took{};
    /** Version of the configuration in force. */
    std::uint64_t version = 0;
    /** Time that work waits for the processor. */
    duration lag{};
};

/** Why a request is answered without being forwarded. */
enum class local_refusal : std::uint8_t
{
    /** The instance shuts down. */
    leaving,
    /** It has no configuration, or doesn't know the searchers yet. */
    no_state,
    no_route,
    /** The request carries no id. */
    no_request_id
};

/** Name for logs. */
std::string_view to_string(local_refusal value) noexcept;

/** Counts and logs what happens to requests. What failed, came late or lacks
    parts is logged; of the rest a sample.

    @see json_log, gateway_metrics
*/
class request_recorder
{
public:
    /** Both have to outlive the recorder. */
    request_recorder(json_log& log, gateway_metrics& metrics);

    /** A request was answered, refused or failed. */
    void on_result(const ended_request& which, const forward_result& result);

    /** The caller left before the answer. */
    void on_abandoned(const ended_request& which);

    /** A request was answered without being forwarded.
        @param id           the caller's id; may be empty
        @param status       what the caller got
        @param retry_after  when it may come again
        @param version      of the configuration in force; 0 for none */
    void on_local_refusal(
        std::string_view id,
        local_refusal why,
        unsigned status,
        duration retry_after,
        std::uint64_t version);

    /** Bytes that are no request. */
    void on_malformed(unsigned status);

    /** An attempt was sent again. */
    void on_repeat(
        const forward_request& request, const std::string& service, bool hedge);

    /** An attempt ended without an answer. */
    void on_attempt_failed(
        const forward_request& request,
        const searcher& target,
        attempt_outcome how);

private:
    json_log& log_;
    gateway_metrics& metrics_;
    std::uint64_t samples_ = 0;
};

} // namespace turmericlane
