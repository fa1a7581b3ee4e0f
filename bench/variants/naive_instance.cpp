#include "naive_instance.h"

#include "../driver/draw.h"

#include <algorithm>

namespace turmericlane::bench
{
namespace
{

bool is_before(const hit& left, const hit& right)
{
    if (left.score != right.score)
        return left.score > right.score;
    return left.document < right.document;
}

} // namespace

naive_instance::naive_instance(const run_context& context, ordinal own_ordinal)
    : search_instance(context, own_ordinal, instance_count + 1)
{
}

void naive_instance::on_bundle(const std::shared_ptr<const bundle>& new_bundle)
{
    bundle_ = new_bundle;
}

void naive_instance::on_search(
    std::uint64_t query, rank query_rank, time_point deadline)
{
    auto& query_state = pending_queries_[query];
    query_state.answer.caller_request_id = std::to_string(query);
    query_state.answer.bundle_version = bundle_->version;
    query_state.answer.state = verdict::success();
    auto active_bundle = bundle_;
    auto time_left = deadline - context().events.now();
    for (auto id : services_for_rank(query_rank))
    {
        const auto& service = *active_bundle->find_service(id);
        auto total = static_cast<std::uint32_t>(service.groups.size());
        query_state.answer.coverage.push_back({id, 0, total});
        query_state.missing_replies += total;
        for (const auto& searcher_group : service.groups)
            send_sub_request(
                query, query_rank, time_left, service, searcher_group);
    }
    auto on_deadline = [this, query]
    { process().deliver([this, query] { finish(query); }); };
    context().events.schedule_at(deadline, on_deadline);
}

void naive_instance::send_sub_request(
    std::uint64_t query,
    rank query_rank,
    duration time_left,
    const service_map& service,
    const group& searcher_group)
{
    backend_request request;
    request.group = {service.id, searcher_group.partition};
    auto draw = hash_values({context().seed, query, group_bit(request.group)});
    request.server =
        searcher_group.searchers[draw % searcher_group.searchers.size()].id;
    request.epoch = service.epoch;
    request.request_rank = query_rank;
    request.time_left = time_left;
    request.query = std::to_string(query);
    auto on_complete =
        [this, query, group = request.group](const backend_reply& reply)
    { on_reply(query, group, reply); };
    client().start(request, on_complete);
}

void naive_instance::on_reply(
    std::uint64_t query, group_id group, const backend_reply& reply)
{
    auto found = pending_queries_.find(query);
    if (found == pending_queries_.end())
        return;
    auto& query_state = found->second;
    --query_state.missing_replies;
    if (reply.status == backend_status::ok)
    {
        query_state.answer.snapshot =
            std::max(query_state.answer.snapshot, reply.snapshot);
        query_state.answer.hits.insert(
            query_state.answer.hits.end(), reply.hits.begin(),
            reply.hits.end());
        for (auto& it : query_state.answer.coverage)
            if (it.service == group.service)
                ++it.answered_groups;
    }
    if (query_state.missing_replies == 0)
        finish(query);
}

void naive_instance::finish(std::uint64_t query)
{
    auto found = pending_queries_.find(query);
    if (found == pending_queries_.end())
        return;
    auto answer = std::move(found->second.answer);
    pending_queries_.erase(found);
    std::sort(answer.hits.begin(), answer.hits.end(), is_before);
    context().checker.on_finish(answer, context().events.now());
}

} // namespace turmericlane::bench
