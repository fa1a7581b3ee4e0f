#pragma once

#include "search_instance.h"

namespace turmericlane::bench
{

/** Instance that runs the unchanged production decision code: a
    search_coordinator as entry and a group_dispatcher as owner.

    @see search_coordinator, group_dispatcher
*/
class turmericlane_instance final : public search_instance,
                                    private entry_actions,
                                    private owner_actions,
                                    private owner_directory
{
public:
    /** Returns the instance of an ordinal, or null. */
    using peer_lookup = std::function<turmericlane_instance*(ordinal)>;

    turmericlane_instance(
        const run_context& context, ordinal own_ordinal, peer_lookup find_peer);

    void on_bundle(const std::shared_ptr<const bundle>& new_bundle) override;
    void on_search(
        std::uint64_t query, rank query_rank, time_point deadline) override;
    void on_load_report(const load_report& report) override;
    void on_peer_view(ordinal peer, bool is_usable) override;
    void on_resume() override;

private:
    void send_batch(ordinal owner, const search_batch& batch) override;
    void send_cancel(ordinal owner, query_id id) override;
    void finish(const search_answer& answer) override;
    void start_attempt(attempt_id id, const backend_request& request) override;
    void cancel_attempt(attempt_id id) override;
    void reply(ordinal entry, const shard_reply& reply) override;
    bool is_usable(ordinal owner) const override;

    void close_connection(ordinal peer);
    /** Handles the loss of a connection that broke since the last message. */
    void check_connection(ordinal peer);
    void on_connection_lost(ordinal peer);
    void receive_message(
        turmericlane_instance& sender,
        std::uint64_t generation,
        const std::function<void(turmericlane_instance&)>& message);
    void receive_batch(ordinal entry, search_batch batch, duration hop_delay);
    void receive_reply(const shard_reply& reply);
    void send_message(
        ordinal peer, std::function<void(turmericlane_instance&)> message);
    void schedule_timers();

    peer_lookup find_peer_;
    std::vector<bool> usable_peers_;
    /** Last known generation of the connection to each peer. */
    std::vector<std::uint64_t> connection_generations_;
    std::unordered_map<query_id, std::uint64_t> query_numbers_;
    std::unordered_map<attempt_id, std::uint64_t> client_request_ids_;
    time_point entry_wakeup_ = time_point::max();
    time_point owner_wakeup_ = time_point::max();
    search_coordinator coordinator_;
    group_dispatcher dispatcher_;
};

} // namespace turmericlane::bench
