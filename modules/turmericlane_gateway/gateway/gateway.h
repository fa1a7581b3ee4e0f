#pragma once

#include "../log/json_log.h"
#include "../log/request_recorder.h"
#include "../peers/feed_cache.h"
#include "../peers/feed_puller.h"
#include "../peers/peer_channel.h"
#include "../searchers/searcher_pool.h"
#include "../store/store_decoder.h"
#include "caller_directory.h"
#include "gateway_metrics.h"
#include "gateway_settings.h"
#include "local_api.h"

#include <list>

namespace turmericlane
{

/** One instance that forwards whole HTTP requests: callers on one side,
    searchers on the other, peers and a followed store beside them.

    An adapter makes the gateway, hands it a store_reader and the seeds, and
    serves its own forms of addresses and readiness with serve.

    @code
    gateway instance(loop, time, settings, log);
    if (auto why = instance.start())
        return fail(*why);
    loop.run();
    @endcode

    One thread uses it, the one that runs the loop.

    @see forward_engine, store_follower
*/
class gateway final : public store_call_listener,
                      private store_listener,
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

    /** Listens and starts to look for peers.
        @returns nothing on success, otherwise the reason */
    std::optional<std::string> start();

    /** Serves requests that are answered locally.
        @returns nothing on success, otherwise the reason */
    std::optional<std::string> serve(
        const std::string& address,
        std::uint16_t port,
        local_api::function answer);

    /** Follows a store; both must outlive the gateway.
        @param patience  see store_follower::start */
    void follow(
        store_reader& reader,
        store_decoder& decoder,
        duration patience = duration::zero());

    /** Instances that may exist, from the settings. */
    void set_seeds(std::span<const listed_instance> seeds);

    /** Begins a graceful shutdown; the second call ends it at once. The loop
        ends with it. */
    void terminate();

    /** True if callers may be sent here. */
    bool ready() const;

    /** Instances that callers may use.
        @param most  bound on their number */
    std::vector<endpoint> usable_instances(std::size_t most);

    /** For how long callers may keep the instances that are usable now.
        @param longest  bound on it */
    duration usable_for(duration longest) const;

    /** Metrics in the Prometheus text format. */
    std::string metrics_text();

    void on_store_answer(store_answer&& answer) override;
    void on_store_failure(store_failure why) override;

private:
    struct pending_request
    {
        std::shared_ptr<caller_session> session;
        outgoing_request text;
        time_point arrived;
        duration target{};
        std::string route_name;
    };

    // Store.
    void item_changed(const store_item& item) override;
    void store_complete() override;
    void store_lost(store_failure why) override;
    void store_returned() override;
    void store_settling(time_point until) override;
    void push(const feed_message& changes) override;
    void pull(const endpoint& peer, std::uint64_t after) override;
    void pulled(const feed_message& message) override;
    void pull_failed() override;

    // Callers.
    void on_request(
        const std::shared_ptr<caller_session>& from,
        caller_request&& request) override;
    void on_caller_left(caller_session& from) override;
    void on_bad_request(unsigned status) override;
    const caller_limits& limits() const override;
    bool closing() const override;
    std::uint64_t version() const;
    void refuse(
        caller_session& from,
        const caller_request& request,
        local_refusal why,
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
    void answer(const pending_request& to, const forward_result& result);
    ended_request ended(const pending_request& of) const;
    void extra_attempt_started(
        const forward_request& request,
        const std::string& service,
        bool hedge) override;
    void attempt_failed(
        const forward_request& request,
        const searcher& target,
        attempt_outcome how) override;

    // Searchers.
    void searcher_added(const std::shared_ptr<searcher>& which) override;
    void searcher_leaving(
        const std::shared_ptr<searcher>& which, std::string_view why) override;
    void
    attempt_ended(attempt_handle attempt, attempt_result&& result) override;
    void searcher_reachable(const std::shared_ptr<searcher>& which) override;
    void take_configuration(route_configuration&& configuration);
    void plan(const std::string& service);
    void plan_all();

    // Peers.
    void member_changed(const member& value) override;
    void peer_state(
        const endpoint& peer,
        std::uint64_t nonce,
        const datagram_header& state) override;
    void peer_feed(const feed_message& message) override;
    datagram_header own_state() const override;
    api_answer answer_peer(const caller_request& request);
    void process_paused(duration gap) override;
    void count_instances();
    void place_callers();
    void divide(const fleet_division& fleet);
    void set_place();

    // Shutdown.
    void leave() override;
    void drain() override;
    void stop(std::size_t cut_off) override;

    void sweep();
    void wake();
    void set_timer();

    event_context& loop_;
    const clock& clock_;
    gateway_settings settings_;
    json_log& log_;
    gateway_metrics metrics_;
    request_recorder recorder_;
    searcher_registry registry_;
    searcher_pool pool_;
    forward_engine engine_;
    caller_directory directory_;
    peer_channel peers_;
    http_listener listener_;
    std::list<local_api> apis_;
    std::unique_ptr<store_follower> follower_;
    store_decoder* decoder_ = nullptr;
    feed_puller puller_;
    feed_cache feeds_;
    shutdown_sequence shutdown_;
    wakeup_timer timer_;
    loop_timer sweep_timer_;
    time_point sweep_due_{};
    std::shared_ptr<route_table> routes_;
    caller_limits default_limits_;
    std::unordered_map<request_handle, pending_request> pending_;
    request_handle last_request_ = 0;
    instance_count instances_;
    fleet_division division_;
    bool members_changed_ = true;
    bool warmed_ = false;
    duration lag_{};
    time_point started_;
};

} // namespace turmericlane
