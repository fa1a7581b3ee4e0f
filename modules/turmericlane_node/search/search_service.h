#pragma once

#include "../backends/backend_service.h"

#include <turmericlane_decisions/turmericlane_decisions.h>
#include <turmericlane_metrics/turmericlane_metrics.h>

#include <functional>
#include <unordered_map>
#include <vector>

namespace turmericlane
{

/** The service "search": runs the decision code of searches on the engine's
    loop, as entry and as owner, and delivers its messages.

    @see search_coordinator, group_dispatcher
*/
class search_service final : public service,
                             public loop_component,
                             public peer_subscriber,
                             public bundle_subscriber,
                             public backend_listener,
                             public entry_actions,
                             public owner_actions,
                             public reason_listener
{
public:
    using answer_handler = std::function<void(const search_answer&)>;

    /** @param nonce     start-up nonce of this process
        @param counters  must outlive the service */
    search_service(
        const instance_settings& settings,
        std::uint64_t nonce,
        instance_counters& counters);
    ~search_service() override;

    std::string_view name() const noexcept override
    {
        return "search";
    }

    std::optional<std::string> start(kernel& owner) override;
    void stop() override;

    /** Starts a search. Any thread may call.
        @param completion_handler  called once, on the engine's loop
        @returns false if the engine has stopped and the handler is never
                 called */
    bool
    search(const search_request& request, answer_handler completion_handler);

    /** Returns the number of unanswered searches plus that of sub-requests from
        other entries which are queued or running here. Called on the engine's
        loop. */
    std::size_t in_flight_count() const;

private:
    time_point on_iteration() override;
    void on_pause(duration length) override;
    void on_peer_disconnected(const peer_identity& peer) override;
    void on_message(
        const message_header& header, const search_batch& message) override;
    void on_message(
        const message_header& header,
        const shard_reply_batch& message) override;
    void on_message(
        const message_header& header, const cancel_message& message) override;
    void
    on_bundle(const std::shared_ptr<const bundle>& bundle_in_force) override;
    void on_backend_reply(attempt_id id, backend_reply&& reply) override;
    void on_load_report(const load_report& report) override;
    void send_batch(ordinal owner, const search_batch& batch) override;
    void send_cancel(ordinal owner, query_id id) override;
    void finish(const search_answer& answer) override;
    void start_attempt(attempt_id id, const backend_request& request) override;
    void cancel_attempt(attempt_id id) override;
    void reply(ordinal entry, const shard_reply& reply) override;
    void on_refusal(reason cause, rank request_rank) override;
    void on_retry(reason cause, rank request_rank) override;
    void on_hedge(rank request_rank) override;

    void start_search(
        const search_request& request,
        const answer_handler& completion_handler);
    bool deliver_local_messages();
    void run_timers();
    void send_replies();

    const instance_settings& settings_;
    std::uint64_t nonce_;
    instance_counters& counters_;
    std::shared_ptr<engine> engine_;
    std::shared_ptr<peer_service> peers_;
    std::shared_ptr<backend_service> backends_;
    std::unique_ptr<search_coordinator> coordinator_;
    std::unique_ptr<group_dispatcher> dispatcher_;
    std::unordered_map<query_id, answer_handler> answer_handlers_;
    /** Handler of the search that is being admitted; null otherwise. */
    const answer_handler* admission_handler_ = nullptr;
    bool is_admission_refused_ = false;
    std::vector<search_batch> local_batches_;
    std::vector<query_id> local_cancels_;
    std::vector<shard_reply> local_replies_;
    std::vector<ordinal> lost_owners_;
    std::unordered_map<ordinal, std::vector<shard_reply>> remote_replies_;
};

} // namespace turmericlane
