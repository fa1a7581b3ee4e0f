#pragma once

#include "../api/api_error.h"
#include "../shutdown/shutdown_service.h"

#include <turmericlane_metrics/turmericlane_metrics.h>

#include <array>

namespace turmericlane
{

/** The service "http": the HTTP interface for callers and operators.

    A thread of the HTTP server serves each request and waits for the engine's
    answer.

    @see http_frontend
*/
class http_service final : public service
{
public:
    /** @param nonce     start-up nonce of this process
        @param registry  must outlive the service
        @param counters  must outlive the service */
    http_service(
        const instance_settings& settings,
        std::uint64_t nonce,
        metrics_registry& registry,
        instance_counters& counters);
    ~http_service() override;

    std::string_view name() const noexcept override
    {
        return "http";
    }

    std::optional<std::string> start(kernel& owner) override;
    void stop() override;

private:
    http_response serve_search(const http_request& request);
    http_response serve_ticket(const http_request& request);
    http_response serve_booking(const http_request& request);
    http_response serve_instances(const http_request& request);
    http_response serve_status(const http_request& request);
    http_response serve_metrics(const http_request& request);
    http_response
    make_refusal_response(const api_error& error, rank request_rank);
    std::optional<api_error> find_state_refusal(const http_request& request);
    reason state_refusal_cause();
    void add_handlers();

    template <class Handler>
    http_frontend::request_handler wrap_handler(Handler handler);

    const instance_settings& settings_;
    std::uint64_t nonce_;
    metrics_registry& registry_;
    instance_counters& counters_;
    std::array<latency_histogram*, rank_count> latency_by_rank_{};
    std::shared_ptr<engine> engine_;
    std::shared_ptr<member_service> members_;
    std::shared_ptr<version_service> versions_;
    std::shared_ptr<search_service> search_;
    std::shared_ptr<booking_service> bookings_;
    std::shared_ptr<shutdown_service> shutdown_;
    std::unique_ptr<http_frontend> frontend_;
};

} // namespace turmericlane
