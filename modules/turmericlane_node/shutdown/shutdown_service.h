#pragma once

#include "../bookings/booking_service.h"
#include "../search/search_service.h"

#include <atomic>
#include <future>

namespace turmericlane
{

/** The service "shutdown": leads the instance from SIGTERM to its end.

    @see shutdown_sequence
*/
class shutdown_service final : public service,
                               public turn_participant,
                               public shutdown_actions
{
public:
    explicit shutdown_service(const node_settings& settings);

    std::string_view name() const noexcept override
    {
        return "shutdown";
    }

    std::optional<std::string> start(kernel& owner) override;
    void stop() override;

    /** SIGTERM arrived; any thread may call. The second call ends the
        instance at once. */
    void terminate();

    /** Waits for the end of the shutdown. Not to be called on the loop.
        @returns the number of requests that were cut off */
    std::size_t wait();

    /** True if new requests are refused; any thread may call. */
    bool draining() const noexcept
    {
        return draining_;
    }

    /** The current phase. On the loop. */
    shutdown_phase phase() const;

    /** A request of a caller began or ended; any thread may call. */
    void request_began() noexcept
    {
        ++requests_;
    }
    void request_ended() noexcept
    {
        --requests_;
    }

private:
    time_point on_turn() override;
    void leave() override;
    void drain() override;
    void stop(std::size_t cut_off) override;
    std::size_t in_flight() const;
    void log_phase(shutdown_phase phase) const;

    const node_settings& settings_;
    std::shared_ptr<engine> engine_;
    std::shared_ptr<member_service> members_;
    std::shared_ptr<search_service> search_;
    std::shared_ptr<booking_service> bookings_;
    std::unique_ptr<shutdown_sequence> sequence_;
    std::atomic<bool> draining_{false};
    std::atomic<std::size_t> requests_{0};
    std::promise<std::size_t> stopped_;
};

/** Counts a request of a caller for as long as the object lives.

    @see shutdown_service
*/
class request_scope
{
public:
    explicit request_scope(shutdown_service& counted)
        : counted_(counted)
    {
        counted_.request_began();
    }
    ~request_scope()
    {
        counted_.request_ended();
    }
    request_scope(const request_scope&) = delete;
    request_scope& operator=(const request_scope&) = delete;

private:
    shutdown_service& counted_;
};

} // namespace turmericlane
