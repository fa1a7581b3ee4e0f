#pragma once

#include "../bookings/booking_service.h"
#include "../search/search_service.h"

#include <atomic>
#include <future>

namespace turmericlane
{

/** The service "shutdown": runs the shutdown of the instance from SIGTERM to
    the end of the process.

    @see shutdown_sequence
*/
class shutdown_service final : public service,
                               public loop_component,
                               public shutdown_actions
{
public:
    explicit shutdown_service(const instance_settings& settings);

    std::string_view name() const noexcept override
    {
        return "shutdown";
    }

    std::optional<std::string> start(kernel& owner) override;
    void stop() override;

    /** Starts the shutdown when SIGTERM arrives; a second call ends the
        instance at once. Any thread may call. */
    void terminate();

    /** Waits for the end of the shutdown. Must not be called on the engine's
        loop.
        @returns the number of requests in flight that got no answer */
    std::size_t wait();

    /** True if new requests are refused. Any thread may call. */
    bool is_draining() const noexcept
    {
        return is_draining_;
    }

    /** Returns the current phase. Called on the engine's loop. */
    shutdown_phase phase() const;

    /** A request of a caller started or ended. Any thread may call. */
    void on_request_started() noexcept
    {
        ++request_count_;
    }
    void on_request_ended() noexcept
    {
        --request_count_;
    }

private:
    time_point on_iteration() override;
    void leave() override;
    void drain() override;
    void stop(std::size_t unanswered_count) override;
    std::size_t in_flight_count() const;
    void log_phase(shutdown_phase phase) const;

    const instance_settings& settings_;
    std::shared_ptr<engine> engine_;
    std::shared_ptr<member_service> members_;
    std::shared_ptr<search_service> search_;
    std::shared_ptr<booking_service> bookings_;
    std::unique_ptr<shutdown_sequence> sequence_;
    std::atomic<bool> is_draining_{false};
    std::atomic<std::size_t> request_count_{0};
    std::promise<std::size_t> stop_promise_;
};

/** Counts a request of a caller for as long as the object lives.

    @see shutdown_service
*/
class request_scope
{
public:
    explicit request_scope(shutdown_service& shutdown)
        : shutdown_(shutdown)
    {
        shutdown_.on_request_started();
    }
    ~request_scope()
    {
        shutdown_.on_request_ended();
    }
    request_scope(const request_scope&) = delete;
    request_scope& operator=(const request_scope&) = delete;

private:
    shutdown_service& shutdown_;
};

} // namespace turmericlane
