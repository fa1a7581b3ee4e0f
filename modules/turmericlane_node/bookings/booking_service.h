#pragma once

#include "../backends/backend_service.h"

#include <turmericlane_state/turmericlane_state.h>

#include <functional>
#include <map>
#include <unordered_map>

namespace turmericlane
{

/** The service "bookings": runs the decision code of bookings on the engine's
    loop, as entry, issuer and owner, and delivers its messages.

    @see booking_coordinator, booking_executor
*/
class booking_service final : public service,
                              public loop_component,
                              public peer_subscriber,
                              public bundle_subscriber,
                              public booking_actions,
                              public booking_directory,
                              public booking_backend
{
public:
    using answer_handler = std::function<void(const booking_answer&)>;

    /** @param nonce     start-up nonce of this process
        @param counters  must outlive the service */
    booking_service(
        const instance_settings& settings,
        std::uint64_t nonce,
        instance_counters& counters);
    ~booking_service() override;

    std::string_view name() const noexcept override
    {
        return "bookings";
    }

    std::optional<std::string> start(kernel& owner) override;
    void stop() override;

    /** Issues a ticket or returns why it can't. Called on the engine's loop. */
    result<ticket, reason> issue_ticket();

    /** Returns how long a ticket is valid. */
    std::chrono::milliseconds ticket_lifetime() const;

    /** Starts a booking. Any thread may call.
        @param completion_handler  called once, on the engine's loop
        @returns false if the engine has stopped and the handler is never
                 called */
    bool
    book(const booking_request& request, answer_handler completion_handler);

    /** Stops issuing tickets and starting bookings. Called on the engine's
        loop. */
    void start_draining();

    /** Returns the number of bookings without an outcome. Called on the
        engine's loop. */
    std::size_t in_flight_count() const;

private:
    /** A booking that waits for a connection or a reply. */
    struct execution
    {
        /** write was called: the first byte may be sent. */
        bool is_permitted = false;
    };

    time_point on_iteration() override;
    void on_peer_disconnected(const peer_identity& peer) override;
    void on_message(
        const message_header& header,
        const booking_forward_message& message) override;
    void on_message(
        const message_header& header,
        const booking_execute_message& message) override;
    void on_message(
        const message_header& header,
        const booking_reply_message& message) override;
    void
    on_bundle(const std::shared_ptr<const bundle>& bundle_in_force) override;

    void answer(caller_id caller, const booking_answer& answer) override;
    bool send_forward(
        ordinal issuer,
        std::uint64_t issuer_nonce,
        forward_id id,
        const booking_request& request) override;
    void reply_forward(
        ordinal entry,
        std::uint64_t entry_nonce,
        forward_id id,
        const booking_answer& answer) override;
    bool send_execute(
        const booking_owner& owner, const booking_frame& frame) override;

    result<group_id, reason>
    group_of(std::uint32_t service, std::string_view key) const override;
    std::vector<booking_owner> owners_of(group_id group) const override;
    bool is_reachable(ordinal index, std::uint64_t nonce) const override;

    void connect(const booking_key& id, group_id group) override;
    void write(const booking_frame& frame, duration time_left) override;
    void release(const booking_key& id) override;
    void reply(
        ordinal issuer,
        const booking_key& id,
        const booking_answer& answer) override;

    void execute_frame(ordinal issuer, const booking_frame& frame);
    bool permit_sending(const booking_key& id);
    void finish(const booking_key& id, const exchange_result& exchange);
    backend_job make_job(const booking_frame& frame);
    void post_task(event_loop::task task);

    const instance_settings& settings_;
    std::uint64_t nonce_;
    instance_counters& counters_;
    std::shared_ptr<engine> engine_;
    std::shared_ptr<peer_service> peers_;
    std::shared_ptr<member_service> members_;
    std::shared_ptr<backend_service> backends_;
    std::unique_ptr<ticket_issuer> issuer_;
    std::unique_ptr<booking_coordinator> coordinator_;
    std::unique_ptr<booking_executor> executor_;
    std::shared_ptr<const bundle> bundle_;
    std::unique_ptr<owner_map> owner_map_;
    caller_id last_caller_id_ = 0;
    std::unordered_map<caller_id, answer_handler> answer_handlers_;
    std::map<booking_key, execution> executions_;
    /** Frame that the executor is handling; null otherwise. */
    const booking_frame* current_frame_ = nullptr;
};

} // namespace turmericlane
