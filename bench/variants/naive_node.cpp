#include "naive_node.h"

#include "../driver/draw.h"

#include <algorithm>

namespace turmericlane::bench
{
namespace
{

bool before(const hit& left, const hit& right)
{
    if (left.score != right.score)
        return left.score > right.score;
    return left.document < right.document;
}

} // namespace

naive_node::naive_node(const surroundings& around, ordinal self)
    : search_node(around, self, instance_count + 1)
{
}

void naive_node::on_bundle(const std::shared_ptr<const bundle>& of)
{
    bundle_ = of;
}

void naive_node::on_search(std::uint64_t query, rank work, time_point deadline)
{
    auto& made = pending_[query];
    made.answer.caller_request_id = std::to_string(query);
    made.answer.bundle_version = bundle_->version;
    made.answer.state = verdict::success();
    auto in_force = bundle_;
    auto left = deadline - around().events.now();
    for (auto id : services_of(work))
    {
        const auto& of = *in_force->find_service(id);
        auto total = static_cast<std::uint32_t>(of.groups.size());
        made.answer.coverage.push_back({id, 0, total});
        made.waiting += total;
        for (const auto& it : of.groups)
            ask(query, work, left, of, it);
    }
    auto end = [this, query]
    { process().deliver([this, query] { finish(query); }); };
    around().events.at(deadline, end);
}

void naive_node::ask(
    std::uint64_t query,
    rank work,
    duration left,
    const service_map& of,
    const group& in)
{
    backend_request made;
    made.group = {of.id, in.partition};
    auto draw = hash_of({around().seed, query, bit_of(made.group)});
    made.server = in.searchers[draw % in.searchers.size()].id;
    made.epoch = of.epoch;
    made.request_rank = work;
    made.time_left = left;
    made.query = std::to_string(query);
    auto end = [this, query, group = made.group](const backend_reply& reply)
    { on_reply(query, group, reply); };
    link().start(made, end);
}

void naive_node::on_reply(
    std::uint64_t query, group_id group, const backend_reply& reply)
{
    auto found = pending_.find(query);
    if (found == pending_.end())
        return;
    auto& one = found->second;
    --one.waiting;
    if (reply.status == backend_status::ok)
    {
        one.answer.snapshot = std::max(one.answer.snapshot, reply.snapshot);
        one.answer.hits.insert(
            one.answer.hits.end(), reply.hits.begin(), reply.hits.end());
        for (auto& it : one.answer.coverage)
            if (it.service == group.service)
                ++it.answered_groups;
    }
    if (one.waiting == 0)
        finish(query);
}

void naive_node::finish(std::uint64_t query)
{
    auto found = pending_.find(query);
    if (found == pending_.end())
        return;
    auto answer = std::move(found->second.answer);
    pending_.erase(found);
    std::sort(answer.hits.begin(), answer.hits.end(), before);
    around().checker.on_finish(answer, around().events.now());
}

} // namespace turmericlane::bench
