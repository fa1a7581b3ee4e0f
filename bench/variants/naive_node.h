#pragma once

#include "search_node.h"

namespace turmericlane::bench
{

/** The naive variant: asks each shard once, directly from the entry, at a
    random replica, waits for all until the deadline and answers with what it
    has. No admission, no hedge, no retry. Each instance opens at most its part
    of a searcher's connection limit.
*/
class naive_node final : public search_node
{
public:
    naive_node(const surroundings& around, ordinal self);

    void on_bundle(const std::shared_ptr<const bundle>& of) override;
    void
    on_search(std::uint64_t query, rank work, time_point deadline) override;

private:
    struct pending
    {
        search_answer answer;
        std::uint32_t waiting = 0;
    };

    void
    ask(std::uint64_t query,
        rank work,
        duration left,
        const service_map& of,
        const group& in);
    void
    on_reply(std::uint64_t query, group_id group, const backend_reply& reply);
    void finish(std::uint64_t query);

    std::shared_ptr<const bundle> bundle_;
    std::unordered_map<std::uint64_t, pending> pending_;
};

} // namespace turmericlane::bench
