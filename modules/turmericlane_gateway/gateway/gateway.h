#pragma once

#include "../log/balance_recorder.h"
#include "../log/json_log.h"
#include "../log/request_recorder.h"
#include "../log/shutdown_recorder.h"
#include "../log/store_recorder.h"
#include "../loop/pause_monitor.h"
#include "../peers/departure_log.h"
#include "../peers/feed_cache.h"
#include "../peers/feed_puller.h"
#include "../peers/peer_channel.h"
#include "../searchers/cold_searchers.h"
#include "../searchers/searcher_pool.h"
#include "../store/store_decoder.h"
#include "caller_directory.h"
#include "gateway_metrics.h"
#include "gateway_settings.h"
#include "local_api.h"

#include <list>

namespace turmericlane
{

/** An instance that forwards whole HTTP requests from callers to searchers. It
    exchanges state with its peers and follows a store of configuration and
    searchers.

    A platform's adapter creates the gateway, passes it a store_reader and the
    seeds, and serves addresses and readiness in the platform's format with
    serve_api.

    @code
    gateway instance(loop, time, settings, log);
    if (auto error = instance.start())
        return fail(*error);
    loop.run();
    @endcode

    Only the thread that runs the loop may use it.

    @see forward_engine, store_follower
*/
class gateway final : public store_call_listener,
                      private store_listener,
                      private follow_listener,
                      private session_handler,
                      private forward_actions,
                      private forward_listener,
                      private searcher_listener,
                      private pool_listener,
                      private peer_listener,
                      private pull_listener,
                      private shutdown_actions
{
public:
    /** All references must outlive the gateway. */
    gateway(
        event_context& loop,
        const clock& time,
        gateway_settings settings,
        json_log& log);
    ~gateway() override;
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /** Starts to listen for callers and peers and to contact peers.
        @returns nothing on success, otherwise the reason for the failure */
    std::optional<std::string> start();

    /** Serves requests that this instance answers itself.
        @param function  answers the requests
        @returns nothing on success, otherwise the reason for the failure */
    std::optional<std::string> serve_api(
        const std::string& address,
        std::uint16_t port,
        local_api::request_function function);

    /** Starts to follow a store.
        @param reader        reads the store; must outlive the gateway
        @param decoder       decodes its items; must outlive the gateway
        @param order         decides which values outlast those of an older
                             copy of the store; must outlive the gateway
        @param peer_timeout  how long to wait for the state of a peer before
                             reading the store; see store_follower::start */
    void follow_store(
        store_reader& reader,
        store_decoder& decoder,
        const item_order& order,
        duration peer_timeout = duration::zero());

    /** Sets the instances that may exist, from the settings; they are
        contacted. */
    void set_seeds(std::span<const listed_instance> seeds);

    /** Begins a graceful shutdown, at whose end the loop stops. Further calls
        are logged and have no other effect. */
    void terminate();

    /** True if callers may send requests to this instance. */
    bool is_ready() const;

    /** Returns the addresses of instances that callers may use.
        @param max_count  largest number of addresses */
    std::vector<endpoint> usable_instances(std::size_t max_count);

    /** The same for the requests of a caller to a host. If routes of the host
        have home regions, instances there or in the caller's region come before
        all others.
        @param region  the caller's region */
    std::vector<endpoint> usable_instances(
        std::string_view host, std::string_view region, std::size_t max_count);

    /** Returns how long callers may use the result of usable_instances.
        @param max_lifetime  upper bound of the result */
    duration address_lifetime(duration max_lifetime) const;

    /** Returns the metrics in the Prometheus text format. */
    std::string metrics_text();

    void on_store_answer(store_answer&& answer) override;
    void on_store_failure(
        store_failure failure,
        std::optional<std::uint64_t> reported_era) override;

private:
    struct pending_request
    {
        std::shared_ptr<caller_session> session;
        outgoing_request outgoing;
        time_point arrival;
        duration target_latency{};
        std::string route_name;
        /** True if it was listed at the end of the shutdown. */
        bool is_listed = false;
    };

    // Store.
    void item_changed(const store_item& item) override;
    void store_complete() override;
    void store_lost(store_failure failure) override;
    void store_returned() override;
    void store_history_lost(std::uint64_t held_revision) override;
    void store_reverted(const store_return_report& report) override;
    void store_answer_refused(
        std::uint64_t stated_era, std::uint64_t known_era) override;
    void store_answer_behind(
        std::uint64_t held_revision, std::uint64_t answered_revision) override;
    void store_not_followed(const follow_report& report) override;
    void store_followed(duration duration_behind) override;
    /** Tells the follow_monitor what the follower knows, and lets it report. */
    void check_following();
    void report_store_metrics();
    void store_settling(time_point settling_end) override;
    void push(const feed_message& changes) override;
    void pull(const endpoint& peer, const store_position& position) override;
    void pull_succeeded(const feed_message& message) override;
    void pull_failed() override;

    // Callers.
    void on_request(
        const std::shared_ptr<caller_session>& session,
        caller_request&& request) override;
    void on_caller_left(caller_session& session) override;
    void on_bad_request(unsigned status) override;
    void on_connection_ended(
        caller_session& session, const connection_report& report) override;
    const caller_limits& limits() const override;
    bool is_closing() const override;
    std::uint64_t configuration_version() const;
    void refuse(
        caller_session& session,
        const caller_request& request,
        local_refusal reason,
        unsigned status,
        duration retry_after = duration::zero());

    // Requests.
    void send(
        attempt_handle attempt,
        request_handle request,
        const std::shared_ptr<searcher>& target,
        duration time_left) override;
    void abandon(attempt_handle attempt) override;
    void finish(request_handle request, forward_result&& result) override;
    void respond(const pending_request& request, const forward_result& result);
    ended_request summarize(const pending_request& request) const;
    void extra_attempt_started(
        const forward_request& request,
        const std::string& service,
        bool is_hedge) override;
    void attempt_failed(
        const forward_request& request,
        const searcher& target,
        attempt_outcome failure) override;

    // Searchers.
    void searcher_added(const std::shared_ptr<searcher>& target) override;
    void searcher_leaving(
        const std::shared_ptr<searcher>& target,
        std::string_view reason) override;
    void
    attempt_ended(attempt_handle attempt, attempt_result&& result) override;
    void searcher_reachable(const std::shared_ptr<searcher>& target) override;
    void statement_received(
        const std::shared_ptr<searcher>& target,
        const searcher_statement& statement) override;
    void answer_too_large(const std::shared_ptr<searcher>& target) override;
    void unmatched_answer_dropped(
        const std::shared_ptr<searcher>& target, bool has_id) override;
    void apply_configuration(route_configuration&& configuration);
    void apply_evacuation(const evacuation_order& order);
    void plan_service(const std::string& service);
    void plan_services();

    // Peers.
    void member_changed(const member& value) override;
    void peer_state_received(
        const endpoint& peer,
        std::uint64_t nonce,
        const datagram_header& state) override;
    void peer_feed_received(const feed_message& message) override;
    void departure_reported(const departure_message& departure) override;
    void failures_reported(
        std::uint64_t nonce, const failure_report_message& report) override;
    void report_failures();
    datagram_header own_state() const override;
    api_answer answer_peer_request(const caller_request& request);
    void process_paused(duration gap) override;
    void update_instance_count();
    void choose_instances();
    void apply_division(const fleet_division& division);
    void update_store_place();

    // Shutdown.
    void leave() override;
    void drain() override;
    void stop(std::size_t cut_off) override;
    /** True if no new requests are forwarded. */
    bool is_draining() const;
    /** Stops to accept connections when no forwarded request is left, and
        tells the shutdown what is still in flight. */
    void finish_drain();
    /** Ends the loop once the last answers have been written, or at the latest
        when the time for them is over. */
    void finish_stop();
    shutdown_snapshot make_snapshot() const;
    /** Writes the open requests to the log, up to a bound. */
    void record_open_requests();

    void sweep();
    void on_wakeup();
    void schedule_wakeup();

    event_context& loop_;
    const clock& clock_;
    gateway_settings settings_;
    json_log& log_;
    gateway_metrics metrics_;
    request_recorder recorder_;
    shutdown_recorder shutdown_recorder_;
    balance_recorder balance_recorder_;
    store_recorder store_recorder_;
    searcher_registry registry_;
    cold_searchers cold_searchers_;
    response_memory response_memory_;
    searcher_pool pool_;
    forward_engine engine_;
    caller_directory directory_;
    peer_channel peers_;
    std::shared_ptr<caller_memory> caller_memory_;
    http_listener listener_;
    std::list<local_api> apis_;
    std::unique_ptr<store_follower> follower_;
    follow_monitor follow_monitor_;
    store_decoder* decoder_ = nullptr;
    departure_log departures_;
    /** Position of this instance in the order of the live instances. */
    std::uint32_t store_position_ = 0;
    feed_puller puller_;
    feed_cache feed_cache_;
    shutdown_sequence shutdown_;
    /** When the first termination signal was sent, as far as is known. */
    std::optional<time_point> signal_time_;
    /** When the loop ends at the latest, set at the end of the shutdown. */
    time_point loop_end_ = time_point::max();
    wakeup_timer timer_;
    loop_timer sweep_timer_;
    time_point next_sweep_{};
    pause_monitor pauses_;
    std::shared_ptr<route_table> routes_;
    caller_limits default_limits_;
    std::unordered_map<request_handle, pending_request> pending_requests_;
    request_handle last_request_handle_ = 0;
    instance_count instance_count_;
    fleet_division division_;
    bool members_changed_ = true;
    bool has_warmed_up_ = false;
    duration lag_{};
    time_point start_time_;
};

} // namespace turmericlane
