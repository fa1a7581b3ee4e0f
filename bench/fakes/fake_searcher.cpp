#include "fake_searcher.h"

#include "../driver/draw.h"

#include <algorithm>
#include <cmath>

namespace turmericlane::bench
{
namespace
{

// Number of queued requests above which the server sheds load.
constexpr std::size_t max_queue_length = 64;
constexpr double straggler_service_time_factor = 20.0;
constexpr double cold_service_time_factor = 3.0;

bool contains(const snapshot_range& range, std::uint64_t value)
{
    return range.oldest <= value && value <= range.newest;
}

} // namespace

fake_searcher::fake_searcher(
    std::uint64_t seed,
    event_queue& events,
    answer_checker& checker,
    const service_map& service,
    const group& searcher_group,
    const searcher& definition)
    : seed_(seed)
    , events_(events)
    , checker_(checker)
    , definition_(definition)
    , group_{service.id, searcher_group.partition}
    , data_centre_(data_centre_index(definition))
    , slots_(service.slots)
    , connection_limit_(service.connection_limit)
    , connect_cost_(service.connect_cost)
{
    state_.epochs = {service.epoch, service.epoch};
}

bool fake_searcher::open_connection()
{
    if (state_.refuses_connections)
        return false;
    checker_.on_connection(connection_count_ + 1, connection_limit_);
    if (connection_count_ >= connection_limit_)
        return false;
    ++connection_count_;
    return true;
}

void fake_searcher::close_connection(std::uint64_t incarnation)
{
    if (incarnation != incarnation_)
        return;
    assert(connection_count_ > 0);
    --connection_count_;
}

bool fake_searcher::try_reject(
    const backend_request& request, const reply_callback& on_reply)
{
    backend_reply reply;
    reply.served_snapshots = state_.snapshots;
    if (state_.is_draining)
        reply.status = backend_status::draining;
    else if (
        request.snapshot != 0 && !contains(state_.snapshots, request.snapshot))
        reply.status = backend_status::snapshot_gone;
    else if (waiting_tokens_.size() >= max_queue_length)
        reply.status = backend_status::shed;
    else
        return false;
    on_reply(reply);
    return true;
}

std::uint64_t
fake_searcher::submit(const backend_request& request, reply_callback on_reply)
{
    assert(request.group == group_);
    auto token = ++last_token_;
    if (try_reject(request, on_reply))
        return token;
    auto& record = requests_[token];
    record.request = request;
    record.deadline = events_.now() + request.time_left;
    record.on_reply = std::move(on_reply);
    record.snapshot =
        request.snapshot == 0 ? state_.snapshots.newest : request.snapshot;
    // A server without the requested epoch answers from its newest one.
    record.epoch = contains(state_.epochs, request.epoch)
                       ? request.epoch
                       : state_.epochs.newest;
    waiting_tokens_.push_back(token);
    start_next();
    return token;
}

void fake_searcher::cancel(std::uint64_t token)
{
    finish(token, backend_status::cancelled);
}

void fake_searcher::restart()
{
    ++incarnation_;
    connection_count_ = 0;
    std::vector<std::uint64_t> tokens;
    tokens.reserve(requests_.size());
    for (const auto& [token, record] : requests_)
        tokens.push_back(token);
    // The order of events must not depend on the order of a hash map.
    std::sort(tokens.begin(), tokens.end());
    for (auto token : tokens)
        finish(token, backend_status::connection_lost);
}

load_report fake_searcher::report() const
{
    load_report result;
    result.server = definition_.id;
    result.load =
        static_cast<double>(running_count_) / static_cast<double>(slots_);
    result.in_flight = running_count_;
    result.queued_requests = static_cast<std::uint32_t>(waiting_tokens_.size());
    result.is_draining = state_.is_draining;
    result.served_snapshots = state_.snapshots;
    if (!state_.has_inverted_load)
        return result;
    result.load = 1.0 - result.load;
    result.in_flight = slots_ - running_count_;
    result.queued_requests = 0;
    return result;
}

void fake_searcher::finish(std::uint64_t token, backend_status status)
{
    auto found = requests_.find(token);
    if (found == requests_.end())
        return;
    auto record = std::move(found->second);
    requests_.erase(found);
    if (record.is_running)
        --running_count_;
    backend_reply reply;
    reply.status = status;
    reply.served_snapshots = state_.snapshots;
    if (status == backend_status::ok)
        fill_reply(record, reply);
    record.on_reply(reply);
    start_next();
}

void fake_searcher::fill_reply(
    const request_record& record, backend_reply& reply) const
{
    reply.snapshot = record.snapshot;
    reply.epoch = record.epoch;
    auto query = query_number(record.request.query);
    hit fake_hit;
    fake_hit.document =
        make_document(query, record.snapshot, record.epoch, group_);
    fake_hit.score = uniform_from_hash(
        hash_values({query, group_bit(group_), record.snapshot}));
    reply.hits.push_back(std::move(fake_hit));
    checker_.on_server_reply(query, group_, record.snapshot, record.epoch);
}

void fake_searcher::start_next()
{
    while (running_count_ < slots_ && !waiting_tokens_.empty())
    {
        auto token = waiting_tokens_.front();
        waiting_tokens_.pop_front();
        auto found = requests_.find(token);
        if (found != requests_.end())
            start(token, found->second);
    }
}

void fake_searcher::start(std::uint64_t token, request_record& record)
{
    if (record.deadline <= events_.now())
    {
        events_.schedule_after(
            duration::zero(),
            [this, token] { finish(token, backend_status::deadline); });
        return;
    }
    ++running_count_;
    record.is_running = true;
    checker_.on_slot(query_number(record.request.query));
    auto end = events_.now() + service_time(record);
    auto status =
        end <= record.deadline ? backend_status::ok : backend_status::deadline;
    events_.schedule_at(
        std::min(end, record.deadline),
        [this, token, status] { finish(token, status); });
}

duration fake_searcher::service_time(const request_record& record)
{
    auto query = query_number(record.request.query);
    auto attempt = checker_.next_attempt(query, group_);
    auto draw =
        hash_values({seed_, query, group_bit(group_), definition_.id, attempt});
    auto median = std::chrono::duration<double>(service_time_median);
    auto drawn_time = median *
                      std::exp(service_time_sigma * normal_from_hash(draw)) *
                      state_.service_time_factor;
    if (events_.now() < state_.cold_until)
        drawn_time *= cold_service_time_factor;
    if (uniform_from_hash(hash_values({draw, 2})) < state_.straggler_share)
        drawn_time *= straggler_service_time_factor;
    return std::chrono::duration_cast<duration>(drawn_time);
}

} // namespace turmericlane::bench
