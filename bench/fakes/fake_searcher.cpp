#include "fake_searcher.h"

#include "../driver/draw.h"

#include <algorithm>
#include <cmath>

namespace turmericlane::bench
{
namespace
{

// Requests that wait behind the slots before the server sheds.
constexpr std::size_t queue_bound = 64;
constexpr double straggler_factor = 20.0;
constexpr double cold_factor = 3.0;

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
    const group& in,
    const searcher& self)
    : seed_(seed)
    , events_(events)
    , checker_(checker)
    , self_(self)
    , group_{service.id, in.partition}
    , data_centre_(data_centre_of(self))
    , slots_(service.slots)
    , connection_limit_(service.connection_limit)
    , connect_cost_(service.connect_cost)
{
    state_.epochs = {service.epoch, service.epoch};
}

bool fake_searcher::open_connection()
{
    if (state_.refuses)
        return false;
    checker_.on_connection(connections_ + 1, connection_limit_);
    if (connections_ >= connection_limit_)
        return false;
    ++connections_;
    return true;
}

void fake_searcher::close_connection(std::uint64_t incarnation)
{
    if (incarnation != incarnation_)
        return;
    assert(connections_ > 0);
    --connections_;
}

bool fake_searcher::refused(
    const backend_request& request, const reply_action& done)
{
    backend_reply reply;
    reply.served_snapshots = state_.snapshots;
    if (state_.draining)
        reply.status = backend_status::draining;
    else if (
        request.snapshot != 0 && !contains(state_.snapshots, request.snapshot))
        reply.status = backend_status::snapshot_gone;
    else if (waiting_.size() >= queue_bound)
        reply.status = backend_status::shed;
    else
        return false;
    done(reply);
    return true;
}

std::uint64_t
fake_searcher::submit(const backend_request& request, reply_action done)
{
    assert(request.group == group_);
    auto token = ++tokens_;
    if (refused(request, done))
        return token;
    auto& made = works_[token];
    made.request = request;
    made.deadline = events_.now() + request.time_left;
    made.done = std::move(done);
    made.snapshot =
        request.snapshot == 0 ? state_.snapshots.newest : request.snapshot;
    // A server that lacks the epoch answers from the one that it has.
    made.epoch = contains(state_.epochs, request.epoch) ? request.epoch
                                                        : state_.epochs.newest;
    waiting_.push_back(token);
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
    connections_ = 0;
    std::vector<std::uint64_t> tokens;
    tokens.reserve(works_.size());
    for (const auto& [token, one] : works_)
        tokens.push_back(token);
    // The order of a hash map must not decide the order of the events.
    std::sort(tokens.begin(), tokens.end());
    for (auto it : tokens)
        finish(it, backend_status::connection_lost);
}

load_report fake_searcher::report() const
{
    load_report made;
    made.server = self_.id;
    made.load = static_cast<double>(running_) / static_cast<double>(slots_);
    made.in_flight = running_;
    made.queued_requests = static_cast<std::uint32_t>(waiting_.size());
    made.is_draining = state_.draining;
    made.served_snapshots = state_.snapshots;
    if (!state_.inverted_load)
        return made;
    made.load = 1.0 - made.load;
    made.in_flight = slots_ - running_;
    made.queued_requests = 0;
    return made;
}

void fake_searcher::finish(std::uint64_t token, backend_status status)
{
    auto found = works_.find(token);
    if (found == works_.end())
        return;
    auto one = std::move(found->second);
    works_.erase(found);
    if (one.running)
        --running_;
    backend_reply reply;
    reply.status = status;
    reply.served_snapshots = state_.snapshots;
    if (status == backend_status::ok)
        fill(one, reply);
    one.done(reply);
    start_next();
}

void fake_searcher::fill(const work& one, backend_reply& reply) const
{
    reply.snapshot = one.snapshot;
    reply.epoch = one.epoch;
    auto query = query_number(one.request.query);
    hit made;
    made.document = make_document(query, one.snapshot, one.epoch, group_);
    made.score = uniform(hash_of({query, bit_of(group_), one.snapshot}));
    reply.hits.push_back(std::move(made));
    checker_.on_server_reply(query, group_, one.snapshot, one.epoch);
}

void fake_searcher::start_next()
{
    while (running_ < slots_ && !waiting_.empty())
    {
        auto token = waiting_.front();
        waiting_.pop_front();
        auto found = works_.find(token);
        if (found != works_.end())
            start(token, found->second);
    }
}

void fake_searcher::start(std::uint64_t token, work& one)
{
    if (one.deadline <= events_.now())
    {
        events_.after(
            duration::zero(),
            [this, token] { finish(token, backend_status::deadline); });
        return;
    }
    ++running_;
    one.running = true;
    checker_.on_slot(query_number(one.request.query));
    auto end = events_.now() + service_time(one);
    auto status =
        end <= one.deadline ? backend_status::ok : backend_status::deadline;
    events_.at(
        std::min(end, one.deadline),
        [this, token, status] { finish(token, status); });
}

duration fake_searcher::service_time(const work& one)
{
    auto query = query_number(one.request.query);
    auto attempt = checker_.next_attempt(query, group_);
    auto draw = hash_of({seed_, query, bit_of(group_), self_.id, attempt});
    auto median = std::chrono::duration<double>(service_median);
    auto drawn = median * std::exp(service_sigma * normal(draw)) * state_.slow;
    if (events_.now() < state_.cold_until)
        drawn *= cold_factor;
    if (uniform(hash_of({draw, 2})) < state_.straggler_share)
        drawn *= straggler_factor;
    return std::chrono::duration_cast<duration>(drawn);
}

} // namespace turmericlane::bench
