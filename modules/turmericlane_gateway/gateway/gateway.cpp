#include "gateway.h"

#include "request_text.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Period of the checks that need no exact timer, such as those of connections
    and sessions, and of the measurement of the loop's lag. */
constexpr auto sweep_period = 50ms;
/** One measurement changes the smoothed lag by its difference divided by
    this. */
constexpr int lag_smoothing_divisor = 2;
/** Time from the start after which connections are opened ahead of need. */
constexpr auto warm_up_delay = 1500ms;
/** Time after which a caller may retry if this instance has no complete state
    yet. */
constexpr auto no_state_retry_after = 250ms;
/** Time after which a caller may retry if the store is out of reach as well: an
    outage lasts for seconds, and callers retry only once. */
constexpr auto store_lost_retry_after = 1s;

} // namespace

gateway::gateway(
    event_context& loop,
    const clock& time,
    gateway_settings settings,
    json_log& log)
    : loop_(loop)
    , clock_(time)
    , settings_(std::move(settings))
    , log_(log)
    , recorder_(log, metrics_)
    , shutdown_recorder_(log)
    , balance_recorder_(log, metrics_)
    , store_recorder_(log, time)
    , registry_(time, *this)
    , cold_searchers_(time, registry_, log, settings_.nonce)
    , response_memory_(max_response_bytes(settings_))
    , pool_(loop, time, settings_.names, response_memory_, *this)
    , engine_(
          {settings_.data_centre, settings_.nonce, settings_.repeats,
           settings_.regions, settings_.shares_room, settings_.balance,
           settings_.yields_to_urgent, settings_.exchanges_failures},
          time,
          registry_,
          *this,
          *this)
    , directory_(make_own_member(settings_))
    , peers_(loop, time, make_own_member(settings_), settings_.nonce, *this)
    , caller_memory_(
          std::make_shared<caller_memory>(time, max_caller_bytes(settings_)))
    , listener_(
          loop,
          *this,
          time,
          {caller_memory_, max_caller_connections(settings_)})
    , follow_monitor_(time, *this)
    , puller_(loop, *this)
    , shutdown_(make_shutdown_limits(settings_), time, *this)
    , timer_(loop, [this] { on_wakeup(); })
    , sweep_timer_(loop.get_executor())
    , pauses_(sweep_period, time.now())
    , instance_count_(time.now())
    , start_time_(time.now())
{
    update_instance_count();
}

gateway::~gateway() = default;

std::optional<std::string> gateway::start()
{
    if (auto error = listener_.listen(
            settings_.local_endpoint.address,
            settings_.local_endpoint.http_port))
        return error;
    if (auto error = peers_.start())
        return error;
    if (auto error = serve_api(
            settings_.local_endpoint.address,
            settings_.local_endpoint.peer_port,
            [this](const caller_request& request)
            { return answer_peer_request(request); }))
        return error;
    sweep();
    return std::nullopt;
}

std::optional<std::string> gateway::serve_api(
    const std::string& address,
    std::uint16_t port,
    local_api::request_function function)
{
    apis_.emplace_back(
        loop_, clock_,
        caller_resources{caller_memory_, max_api_connections(settings_)},
        std::move(function));
    return apis_.back().listen(address, port);
}

void gateway::set_seeds(std::span<const listed_instance> seeds)
{
    peers_.set_seeds(seeds);
}

bool gateway::is_ready() const
{
    return routes_ && follower_ && follower_->is_complete() &&
           shutdown_.phase() == shutdown_phase::serving;
}

std::vector<endpoint> gateway::usable_instances(std::size_t max_count)
{
    return directory_.addresses(max_count);
}

std::vector<endpoint> gateway::usable_instances(
    std::string_view host, std::string_view region, std::size_t max_count)
{
    const auto homes =
        routes_ ? routes_->home_regions(host) : std::span<const std::string>();
    if (homes.empty())
        return usable_instances(max_count);
    return directory_.addresses(
        max_count,
        [&](const std::string& data_centre)
        {
            const auto& it = settings_.regions.region_of(data_centre);
            return !it.empty() &&
                   (it == region ||
                    std::find(homes.begin(), homes.end(), it) != homes.end());
        });
}

duration gateway::address_lifetime(duration max_lifetime) const
{
    return directory_.address_lifetime(max_lifetime, clock_.now());
}

std::string gateway::metrics_text()
{
    metrics_.configuration_version.set(
        static_cast<double>(configuration_version()));
    metrics_.instances.set(instance_count_.value());
    metrics_.searchers.set(static_cast<double>(registry_.size()));
    metrics_.evacuated_data_centres.set(
        static_cast<double>(registry_.evacuated_data_centres().size()));
    cold_searchers_.report(metrics_);
    metrics_.set_room_shares(engine_.room_shares());
    metrics_.searcher_connections.set(
        static_cast<double>(pool_.connection_count()));
    metrics_.searcher_connections_opened.set(
        static_cast<double>(pool_.opened_count()));
    metrics_.caller_memory_bytes.set(
        static_cast<double>(caller_memory_->total_bytes()));
    metrics_.caller_memory_given_up.set(
        static_cast<double>(caller_memory_->given_up_count()));
    metrics_.loop_lag_seconds.set(std::chrono::duration<double>(lag_).count());
    metrics_.log_lines_dropped.set(
        static_cast<double>(log_.dropped_line_count()));
    report_store_metrics();
    return metrics_.text();
}

void gateway::on_request(
    const std::shared_ptr<caller_session>& session, caller_request&& request)
{
    session->request_label = field(request.fields, settings_.names.request_id);
    if (is_draining())
    {
        refuse(*session, request, local_refusal::leaving, 503);
        return;
    }
    if (!routes_ || !follower_->is_complete())
    {
        refuse(
            *session, request, local_refusal::no_state, 503,
            follower_ && follower_->is_store_lost()
                ? duration(store_lost_retry_after)
                : duration(no_state_retry_after));
        return;
    }
    const auto* const matched_route =
        routes_->find(request.host(), request.path());
    if (matched_route == nullptr)
    {
        refuse(*session, request, local_refusal::no_route, 404);
        return;
    }
    if (field(request.fields, settings_.names.request_id).empty())
    {
        refuse(*session, request, local_refusal::no_request_id, 400);
        return;
    }
    const auto id = ++last_request_handle_;
    session->request_number = id;
    pending_request state{
        session,
        make_outgoing_request(
            request, settings_.names, matched_route->is_gathered()),
        clock_.now(), matched_route->target_latency, matched_route->name};
    const auto label = state.outgoing.id;
    pending_requests_.emplace(id, std::move(state));

    forward_request engine_request;
    engine_request.id = id;
    engine_request.routes = routes_;
    engine_request.matched_route = matched_route;
    engine_request.time_left = read_time_left(request, settings_.names)
                                   .value_or(matched_route->timeout);
    engine_request.travel_time = session->round_trip_time();
    engine_request.label = label;
    engine_.start(std::move(engine_request));
    schedule_wakeup();
}

void gateway::on_caller_left(caller_session& session)
{
    const auto position = pending_requests_.find(session.request_number);
    if (position == pending_requests_.end() ||
        position->second.session.get() != &session)
        return;
    recorder_.on_abandoned(summarize(position->second));
    pending_requests_.erase(position);
    engine_.on_caller_left(session.request_number);
}

void gateway::on_bad_request(unsigned status)
{
    recorder_.on_malformed(status);
}

void gateway::on_connection_ended(
    caller_session& session, const connection_report& report)
{
    recorder_.on_connection_cut(session.request_label, report);
}

const caller_limits& gateway::limits() const
{
    return routes_ ? routes_->configuration().limits : default_limits_;
}

bool gateway::is_closing() const
{
    return shutdown_.phase() != shutdown_phase::serving;
}

std::uint64_t gateway::configuration_version() const
{
    return routes_ ? routes_->configuration().version : 0;
}

void gateway::refuse(
    caller_session& session,
    const caller_request& request,
    local_refusal reason,
    unsigned status,
    duration retry_after)
{
    recorder_.on_local_refusal(
        field(request.fields, settings_.names.request_id), reason, status,
        retry_after, configuration_version());
    std::string fields;
    if (status == 503)
        fields = retry_fields(retry_after);
    session.respond(status, fields, {});
}

void gateway::send(
    attempt_handle attempt,
    request_handle request,
    const std::shared_ptr<searcher>& target,
    duration time_left)
{
    const auto position = pending_requests_.find(request);
    assert(position != pending_requests_.end());
    directory_.on_attempt();
    pool_.send(attempt, position->second.outgoing, target, time_left);
}

void gateway::abandon(attempt_handle attempt)
{
    pool_.abandon(attempt);
}

void gateway::finish(request_handle request, forward_result&& result)
{
    const auto position = pending_requests_.find(request);
    assert(position != pending_requests_.end());
    const auto state = std::move(position->second);
    pending_requests_.erase(position);
    recorder_.on_result(this->summarize(state), result);
    // The answer may let the session start its next request, which would call
    // the engine again before this call has returned.
    boost::asio::post(
        loop_, [this, state, final_result = std::move(result)]
        { respond(state, final_result); });
}

void gateway::respond(
    const pending_request& request, const forward_result& result)
{
    auto& session = *request.session;
    if (!session.is_busy())
        return;
    if (result.failure == forward_failure::none)
    {
        session.respond(
            result.answer.status, answer_fields(result, settings_.names),
            result.answer.body);
        return;
    }
    if (result.execution == outcome::not_run)
    {
        session.respond(503, retry_fields(result.retry_after), {});
        return;
    }
    if (result.failure == forward_failure::attempts_failed &&
        !result.answer.signature.empty())
    {
        session.respond(
            result.answer.status, answer_fields(result, settings_.names),
            result.answer.body);
        return;
    }
    session.respond(
        result.failure == forward_failure::deadline ? 504 : 502, {}, {});
}

ended_request gateway::summarize(const pending_request& request) const
{
    ended_request summary;
    summary.request_id = request.outgoing.id;
    summary.route_name = request.route_name;
    summary.target_latency = request.target_latency;
    summary.latency = clock_.now() - request.arrival;
    summary.configuration_version = routes_->configuration().version;
    summary.loop_lag = lag_;
    summary.is_listed = request.is_listed;
    return summary;
}

void gateway::extra_attempt_started(
    const forward_request& request, const std::string& service, bool is_hedge)
{
    recorder_.on_extra_attempt(request, service, is_hedge);
}

void gateway::attempt_failed(
    const forward_request& request,
    const searcher& target,
    attempt_outcome failure)
{
    if (failure == attempt_outcome::misdirected)
        registry_.on_misdirected(target.entry().id);
    recorder_.on_attempt_failed(request, target, failure);
}

void gateway::searcher_added(const std::shared_ptr<searcher>& target)
{
    log_.write_state(
        gateway_event::searcher_added, {{"searcher", target->entry().id},
                                        {"service", target->entry().service},
                                        {"address", target->entry().address}});
    plan_service(target->entry().service);
    engine_.on_capacity_available(target->entry().service);
    schedule_wakeup();
}

void gateway::searcher_leaving(
    const std::shared_ptr<searcher>& target, std::string_view reason)
{
    log_.write_state(
        gateway_event::searcher_leaving, {{"searcher", target->entry().id},
                                          {"service", target->entry().service},
                                          {"why", reason}});
    pool_.close_idle(target);
    plan_service(target->entry().service);
}

void gateway::attempt_ended(attempt_handle attempt, attempt_result&& result)
{
    engine_.on_result(attempt, std::move(result));
    schedule_wakeup();
}

void gateway::searcher_reachable(const std::shared_ptr<searcher>& target)
{
    target->on_reachable();
    engine_.on_capacity_available(target->entry().service);
}

void gateway::statement_received(
    const std::shared_ptr<searcher>& target,
    const searcher_statement& statement)
{
    const auto now = clock_.now();
    const auto entry = target->entry();
    if (!statement.odd_field.empty())
        recorder_.on_odd_field(*target, statement.odd_field);
    if (statement.quiet_time > duration::zero())
    {
        if (!target->is_quiet_requested(now))
            recorder_.on_quiet_requested(*target, statement.quiet_time);
        target->on_quiet_requested(statement.quiet_time, now);
    }
    cold_searchers_.on_statement(target, statement.warm_up_time);
    // Peers that heard of the departure before do not report it again.
    const auto is_known = target->is_departure_reported(now);
    if (!statement.is_leaving ||
        !registry_.on_departure(entry.id, entry.incarnation))
        return;
    departures_.add({entry.id, entry.incarnation}, now);
    if (!is_known)
        peers_.report_departure({entry.id, entry.incarnation});
}

void gateway::answer_too_large(const std::shared_ptr<searcher>& target)
{
    recorder_.on_answer_too_large(*target);
}

void gateway::unmatched_answer_dropped(
    const std::shared_ptr<searcher>& target, bool has_id)
{
    recorder_.on_unmatched_answer(*target, has_id);
}

void gateway::plan_service(const std::string& service)
{
    const auto limit =
        routes_ ? routes_->max_connections(service) : std::nullopt;
    const auto replicas = registry_.service_searchers(service);
    plan_connections(
        replicas,
        share_connections(limit.value_or(1), division_, replicas.size()),
        {settings_.local_endpoint.address, settings_.data_centre});
    cold_searchers_.on_service_changed(service);
    // Before the peers are known, an instance's share of the connections is
    // too large: too many instances would connect at once.
    if (!limit || clock_.now() - start_time_ < warm_up_delay)
        return;
    for (const auto& it : replicas)
    {
        if (it->is_preferred())
            pool_.ensure_connection(it);
    }
}

void gateway::plan_services()
{
    if (!routes_)
        return;
    for (const auto& it : routes_->configuration().services)
        plan_service(it.name);
}

void gateway::process_paused(duration gap)
{
    log_.write_state(
        gateway_event::process_paused, {{"gap_ms", to_milliseconds(gap)}});
}

void gateway::update_instance_count()
{
    const auto have_members_changed = members_changed_;
    if (have_members_changed)
        update_store_place();
    const auto now = clock_.now();
    if (!has_warmed_up_ && now - start_time_ >= warm_up_delay)
    {
        has_warmed_up_ = true;
        plan_services();
    }
    const auto live_count =
        static_cast<std::uint32_t>(peers_.table().live_count());
    if (instance_count_.update(live_count, now) || have_members_changed ||
        directory_.is_choice_due(now))
        choose_instances();
}

void gateway::sweep()
{
    const auto now = clock_.now();
    const auto delay =
        next_sweep_ == time_point{} ? duration::zero() : now - next_sweep_;
    lag_ += (std::max(delay, duration::zero()) - lag_) / lag_smoothing_divisor;
    engine_.on_lag(lag_);
    pauses_.on_run(now);
    listener_.sweep();
    for (auto& it : apis_)
        it.sweep();
    pool_.sweep();
    registry_.for_each(
        [this, now](const auto& it)
        {
            if (it->is_probe_due(now) && !registry_.is_evacuated(*it))
                pool_.probe(it);
        });
    directory_.measure(now);
    balance_recorder_.record(engine_.take_balance_changes());
    report_failures();
    check_following();
    update_instance_count();
    if (shutdown_.phase() == shutdown_phase::stopped)
        finish_stop();
    else if (is_draining())
        finish_drain();
    log_.flush();
    next_sweep_ = clock_.now() + sweep_period;
    sweep_timer_.expires_at(next_sweep_);
    sweep_timer_.async_wait(
        [this](boost::system::error_code ec)
        {
            if (!ec)
                sweep();
        });
}

void gateway::on_wakeup()
{
    const auto now = clock_.now();
    engine_.on_timer();
    registry_.on_timer();
    if (follower_)
        follower_->on_timer();
    if (shutdown_.next_wakeup() <= now)
        shutdown_.on_timer();
    schedule_wakeup();
}

void gateway::schedule_wakeup()
{
    auto due = std::min(engine_.next_wakeup(), registry_.next_wakeup());
    due = std::min(due, shutdown_.next_wakeup());
    if (follower_)
        due = std::min(due, follower_->next_wakeup());
    if (due != time_point::max())
        timer_.set(due);
}

} // namespace turmericlane
