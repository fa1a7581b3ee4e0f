#pragma once

#include "search_node.h"

namespace turmericlane::bench
{

/** One instance that runs the decision code, unchanged: a search_coordinator as
    entry and a group_dispatcher as owner.

    @see search_coordinator, group_dispatcher
*/
class turmericlane_node final : public search_node,
                                private entry_actions,
                                private owner_actions,
                                private owner_directory
{
public:
    /** Returns the instance with an ordinal, or null. */
    using peer_lookup = std::function<turmericlane_node*(ordinal)>;

    turmericlane_node(
        const surroundings& around, ordinal self, peer_lookup peers);

    void on_bundle(const std::shared_ptr<const bundle>& of) override;
    void
    on_search(std::uint64_t query, rank work, time_point deadline) override;
    void on_load_report(const load_report& report) override;
    void on_peer_view(ordinal peer, bool usable) override;
    void on_wake() override;

private:
    void send_batch(ordinal owner, const search_batch& batch) override;
    void send_cancel(ordinal owner, query_id id) override;
    void finish(const search_answer& answer) override;
    void start_attempt(attempt_id id, const backend_request& request) override;
    void cancel_attempt(attempt_id id) override;
    void reply(ordinal entry, const shard_reply& reply) override;
    bool is_usable(ordinal owner) const override;

    void close_connection(ordinal peer);
    /** Takes note of a connection that broke since the last message. */
    void see_connection(ordinal peer);
    void on_connection_lost(ordinal peer);
    void take(
        turmericlane_node& from,
        std::uint64_t generation,
        const std::function<void(turmericlane_node&)>& what);
    void receive_batch(ordinal entry, search_batch batch, duration hop);
    void receive_reply(const shard_reply& reply);
    void send_to(ordinal peer, std::function<void(turmericlane_node&)> what);
    void set_timers();

    peer_lookup peers_;
    std::vector<bool> usable_;
    /** Generation of the connection to each peer that this side knows. */
    std::vector<std::uint64_t> generations_;
    std::unordered_map<query_id, std::uint64_t> queries_;
    std::unordered_map<attempt_id, std::uint64_t> attempts_;
    time_point entry_timer_ = time_point::max();
    time_point owner_timer_ = time_point::max();
    search_coordinator coordinator_;
    group_dispatcher dispatcher_;
};

} // namespace turmericlane::bench
