#pragma once

#include "search_instance.h"

namespace turmericlane::bench
{

/** Instance of the naive variant. The entry sends one sub-request per group
    directly to a random replica, waits for all replies until the deadline and
    answers with those that arrived. It has no admission control, no hedges and
    no retries. Each instance opens at most its share of a searcher's connection
    limit.
*/
class naive_instance final : public search_instance
{
public:
    naive_instance(const run_context& context, ordinal own_ordinal);

    void on_bundle(const std::shared_ptr<const bundle>& new_bundle) override;
    void on_search(
        std::uint64_t query, rank query_rank, time_point deadline) override;

private:
    struct pending_query
    {
        search_answer answer;
        std::uint32_t missing_replies = 0;
    };

    void send_sub_request(
        std::uint64_t query,
        rank query_rank,
        duration time_left,
        const service_map& service,
        const group& searcher_group);
    void
    on_reply(std::uint64_t query, group_id group, const backend_reply& reply);
    void finish(std::uint64_t query);

    std::shared_ptr<const bundle> bundle_;
    std::unordered_map<std::uint64_t, pending_query> pending_queries_;
};

} // namespace turmericlane::bench
