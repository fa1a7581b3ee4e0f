#include "search_coordinator.h"

#include "search_engine.h"

namespace turmericlane
{

class search_coordinator::implementation final : public search_engine
{
public:
    using search_engine::search_engine;
};

search_coordinator::search_coordinator(
    ordinal own_ordinal,
    std::uint64_t nonce,
    const clock& time_source,
    const owner_directory& directory,
    entry_actions& actions,
    reason_listener* listener)
    : implementation_(std::make_unique<implementation>(
          own_ordinal, nonce, time_source, directory, actions, listener))
{
}

search_coordinator::~search_coordinator() = default;

void search_coordinator::on_bundle(
    std::shared_ptr<const bundle> bundle_in_force)
{
    implementation_->on_bundle(std::move(bundle_in_force));
}

query_id search_coordinator::on_search(const search_request& request)
{
    return implementation_->on_search(request);
}

void search_coordinator::on_shard_reply(const shard_reply& reply)
{
    implementation_->on_shard_reply(reply);
}

void search_coordinator::on_owner_lost(ordinal owner)
{
    implementation_->on_owner_lost(owner);
}

void search_coordinator::on_caller_gone(query_id id)
{
    implementation_->on_caller_gone(id);
}

void search_coordinator::on_timer()
{
    implementation_->on_timer();
}

time_point search_coordinator::next_wakeup() const
{
    return implementation_->next_wakeup();
}

std::size_t search_coordinator::in_flight() const
{
    return implementation_->in_flight();
}

double search_coordinator::rank_limit(rank request_rank) const
{
    return implementation_->rank_limit(request_rank);
}

} // namespace turmericlane
