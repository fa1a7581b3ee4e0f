#include "group_dispatcher.h"

#include "dispatch_engine.h"

namespace turmericlane
{

class group_dispatcher::implementation final : public dispatch_engine
{
public:
    using dispatch_engine::dispatch_engine;
};

group_dispatcher::group_dispatcher(
    std::uint64_t seed,
    const clock& time_source,
    owner_actions& actions,
    reason_listener* listener)
    : implementation_(std::make_unique<implementation>(
          seed, time_source, actions, listener))
{
}

group_dispatcher::~group_dispatcher() = default;

void group_dispatcher::on_bundle(std::shared_ptr<const bundle> new_bundle)
{
    implementation_->on_bundle(std::move(new_bundle));
}

void group_dispatcher::on_batch(ordinal entry, const search_batch& batch)
{
    implementation_->on_batch(entry, batch);
}

void group_dispatcher::on_cancel(query_id id)
{
    implementation_->on_cancel(id);
}

void group_dispatcher::on_entry_lost(ordinal entry)
{
    implementation_->on_entry_lost(entry);
}

void group_dispatcher::on_backend_reply(
    attempt_id id, const backend_reply& reply)
{
    implementation_->on_backend_reply(id, backend_reply(reply));
}

void group_dispatcher::on_backend_reply(attempt_id id, backend_reply&& reply)
{
    implementation_->on_backend_reply(id, std::move(reply));
}

void group_dispatcher::on_load_report(const load_report& report)
{
    implementation_->on_load_report(report);
}

void group_dispatcher::on_server_leaving(searcher_id server, bool is_leaving)
{
    implementation_->on_server_leaving(server, is_leaving);
}

void group_dispatcher::on_pause_detected()
{
    implementation_->on_pause_detected();
}

void group_dispatcher::on_timer()
{
    implementation_->on_timer();
}

time_point group_dispatcher::next_wakeup() const
{
    return implementation_->next_wakeup();
}

std::size_t group_dispatcher::waiting_count() const
{
    return implementation_->waiting_count();
}

std::uint32_t group_dispatcher::attempts_in_flight(searcher_id server) const
{
    return implementation_->attempts_in_flight(server);
}

} // namespace turmericlane
