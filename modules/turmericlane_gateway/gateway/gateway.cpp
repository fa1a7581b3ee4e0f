#include "gateway.h"

#include "request_text.h"

#include <algorithm>
#include <cassert>
#include <charconv>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Period in which connections, sessions and timers of less haste are looked
    at, and the lag of the loop is measured. */
constexpr auto sweep_period = 50ms;
/** Weight of one measurement in the smoothed lag. */
constexpr int lag_weight = 2;
/** Connections are opened ahead of need from this time on. */
constexpr auto time_to_warm = 1500ms;
/** What a caller is told while no configuration is known. */
constexpr auto starting_retry_after = 250ms;
/** While the store is out of reach, too: outages last for seconds, and callers
    come back once. */
constexpr auto lost_retry_after = 1s;

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
    , registry_(time, *this)
    , pool_(loop, time, settings_.names, *this)
    , engine_(
          {settings_.data_centre, settings_.nonce, settings_.repeats},
          time,
          registry_,
          *this,
          *this)
    , directory_(self_of(settings_))
    , peers_(loop, time, self_of(settings_), settings_.nonce, *this)
    , listener_(loop, *this, time)
    , puller_(loop, *this)
    , shutdown_(limits_of(settings_), time, *this)
    , timer_(loop, [this] { wake(); })
    , sweep_timer_(loop.get_executor())
    , instances_(time.now())
    , started_(time.now())
{
    count_instances();
}

gateway::~gateway() = default;

std::optional<std::string> gateway::start()
{
    if (auto why = listener_.listen(
            settings_.where.address, settings_.where.http_port))
        return why;
    if (auto why = peers_.start())
        return why;
    if (auto why = serve(
            settings_.where.address, settings_.where.peer_port,
            [this](const caller_request& request)
            { return answer_peer(request); }))
        return why;
    sweep();
    return std::nullopt;
}

std::optional<std::string> gateway::serve(
    const std::string& address, std::uint16_t port, local_api::function answer)
{
    apis_.emplace_back(loop_, clock_, std::move(answer));
    return apis_.back().listen(address, port);
}

void gateway::follow(
    store_reader& reader, store_decoder& decoder, duration patience)
{
    decoder_ = &decoder;
    follower_ = std::make_unique<store_follower>(
        clock_, reader, static_cast<store_listener&>(*this), settings_.nonce);
    follower_->start(patience);
    set_timer();
}

void gateway::set_seeds(std::span<const listed_instance> seeds)
{
    peers_.set_seeds(seeds);
}

void gateway::terminate()
{
    shutdown_.on_terminate();
    set_timer();
}

bool gateway::ready() const
{
    return routes_ && follower_ && follower_->is_complete() &&
           shutdown_.phase() == shutdown_phase::serving;
}

std::vector<endpoint> gateway::usable_instances(std::size_t most)
{
    return directory_.addresses(most);
}

duration gateway::usable_for(duration longest) const
{
    return directory_.address_lifetime(longest, clock_.now());
}

std::string gateway::metrics_text()
{
    metrics_.version.set(static_cast<double>(version()));
    metrics_.instances.set(instances_.value());
    metrics_.searchers.set(static_cast<double>(registry_.size()));
    metrics_.connections.set(static_cast<double>(pool_.connections()));
    metrics_.connections_opened.set(static_cast<double>(pool_.opened()));
    metrics_.lag_seconds.set(std::chrono::duration<double>(lag_).count());
    metrics_.log_lines_dropped.set(static_cast<double>(log_.dropped()));
    if (follower_)
        metrics_.store_age_seconds.set(
            std::chrono::duration<double>(follower_->age()).count());
    return metrics_.text();
}

void gateway::on_store_answer(store_answer&& answer)
{
    follower_->on_answer(std::move(answer));
    set_timer();
}

void gateway::on_store_failure(store_failure why)
{
    follower_->on_failure(why);
    set_timer();
}

void gateway::item_changed(const store_item& item)
{
    auto change = decoder_->decode(item);
    if (!change)
        return;
    if (auto* configuration = std::get_if<route_configuration>(&*change))
        take_configuration(std::move(*configuration));
    else if (const auto* entry = std::get_if<searcher_entry>(&*change))
        registry_.on_entry(*entry);
    else if (const auto* gone = std::get_if<searcher_removal>(&*change))
        registry_.on_removed(gone->id);
}

void gateway::store_complete()
{
    log_.state(
        gateway_event::store_complete,
        {{"searchers", static_cast<std::int64_t>(registry_.size())},
         {"revision", static_cast<std::int64_t>(follower_->revision())}});
}

void gateway::store_lost(store_failure why)
{
    log_.state(
        gateway_event::store_lost,
        {{"why", to_string(why)},
         {"age_ms", to_milliseconds(follower_->age())}});
}

void gateway::store_returned()
{
    log_.state(gateway_event::store_returned, {});
}

void gateway::store_settling(time_point until)
{
    registry_.put_off_removals(until);
}

void gateway::push(const feed_message& changes)
{
    peers_.push(changes);
}

void gateway::pull(const endpoint& peer, std::uint64_t after)
{
    puller_.pull(peer, after);
}

void gateway::pulled(const feed_message& message)
{
    follower_->on_pulled(message);
    set_timer();
}

void gateway::pull_failed()
{
    follower_->on_pull_failed();
    set_timer();
}

void gateway::on_request(
    const std::shared_ptr<caller_session>& from, caller_request&& request)
{
    if (shutdown_.phase() == shutdown_phase::draining)
    {
        refuse(*from, request, local_refusal::leaving, 503);
        return;
    }
    if (!routes_ || !follower_->is_complete())
    {
        refuse(
            *from, request, local_refusal::no_state, 503,
            follower_ && follower_->is_store_lost()
                ? duration(lost_retry_after)
                : duration(starting_retry_after));
        return;
    }
    const auto* const how = routes_->find(request.host(), request.path());
    if (how == nullptr)
    {
        refuse(*from, request, local_refusal::no_route, 404);
        return;
    }
    if (field(request.fields, settings_.names.request_id).empty())
    {
        refuse(*from, request, local_refusal::no_request_id, 400);
        return;
    }
    const auto id = ++last_request_;
    from->request_number = id;
    auto& made = pending_[id];
    made.session = from;
    made.text = make_outgoing(request, settings_.names, how->is_gathered());
    made.arrived = clock_.now();
    made.target = how->target;
    made.route_name = how->name;

    forward_request work;
    work.id = id;
    work.routes = routes_;
    work.how = how;
    work.time_left =
        read_time_left(request, settings_.names).value_or(how->timeout);
    work.travel_time = from->travel_time();
    work.label = made.text.id;
    engine_.start(std::move(work));
    set_timer();
}

void gateway::on_caller_left(caller_session& from)
{
    const auto found = pending_.find(from.request_number);
    if (found == pending_.end() || found->second.session.get() != &from)
        return;
    recorder_.on_abandoned(ended(found->second));
    pending_.erase(found);
    engine_.on_caller_left(from.request_number);
}

void gateway::on_bad_request(unsigned status)
{
    recorder_.on_malformed(status);
}

const caller_limits& gateway::limits() const
{
    return routes_ ? routes_->configuration().limits : default_limits_;
}

bool gateway::closing() const
{
    return shutdown_.phase() != shutdown_phase::serving;
}

std::uint64_t gateway::version() const
{
    return routes_ ? routes_->configuration().version : 0;
}

void gateway::refuse(
    caller_session& from,
    const caller_request& request,
    local_refusal why,
    unsigned status,
    duration retry_after)
{
    recorder_.on_local_refusal(
        field(request.fields, settings_.names.request_id), why, status,
        retry_after, version());
    std::string fields;
    if (status == 503)
        fields = retry_fields(retry_after);
    from.respond(status, fields, {});
}

void gateway::send(
    attempt_handle attempt,
    request_handle request,
    const std::shared_ptr<searcher>& target,
    duration time_left)
{
    const auto found = pending_.find(request);
    assert(found != pending_.end());
    directory_.on_attempt();
    pool_.send(attempt, found->second.text, target, time_left);
}

void gateway::abandon(attempt_handle attempt)
{
    pool_.abandon(attempt);
}

void gateway::finish(request_handle request, forward_result&& result)
{
    const auto found = pending_.find(request);
    assert(found != pending_.end());
    const auto ended = std::move(found->second);
    pending_.erase(found);
    recorder_.on_result(this->ended(ended), result);
    // The answer may let the session start its next request, which must not
    // happen inside the engine.
    boost::asio::post(
        loop_,
        [this, ended, made = std::move(result)] { answer(ended, made); });
}

void gateway::answer(const pending_request& to, const forward_result& result)
{
    auto& session = *to.session;
    if (!session.busy())
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

ended_request gateway::ended(const pending_request& of) const
{
    ended_request made;
    made.id = of.text.id;
    made.route = of.route_name;
    made.target = of.target;
    made.took = clock_.now() - of.arrived;
    made.version = routes_->configuration().version;
    made.lag = lag_;
    return made;
}

void gateway::repeated(
    const forward_request& request, const std::string& service, bool hedge)
{
    recorder_.on_repeat(request, service, hedge);
}

void gateway::attempt_failed(
    const forward_request& request, const searcher& target, attempt_outcome how)
{
    if (how == attempt_outcome::misdirected)
        registry_.on_misdirected(target.entry().id);
    recorder_.on_attempt_failed(request, target, how);
}

void gateway::searcher_added(const std::shared_ptr<searcher>& which)
{
    log_.state(
        gateway_event::searcher_added, {{"searcher", which->entry().id},
                                        {"service", which->entry().service},
                                        {"address", which->entry().address}});
    plan(which->entry().service);
}

void gateway::searcher_leaving(
    const std::shared_ptr<searcher>& which, std::string_view why)
{
    log_.state(
        gateway_event::searcher_leaving, {{"searcher", which->entry().id},
                                          {"service", which->entry().service},
                                          {"why", why}});
    pool_.close_idle(which);
    plan(which->entry().service);
}

void gateway::attempt_ended(attempt_handle attempt, attempt_result&& result)
{
    engine_.on_result(attempt, std::move(result));
    set_timer();
}

void gateway::searcher_reachable(const std::shared_ptr<searcher>& which)
{
    which->on_reachable();
    engine_.on_room(which->entry().service);
}

void gateway::take_configuration(route_configuration&& configuration)
{
    const auto present = version();
    if (configuration.version <= present)
    {
        if (configuration.version < present)
            log_.state(
                gateway_event::configuration_ignored,
                {{"version", static_cast<std::int64_t>(configuration.version)},
                 {"in_force", static_cast<std::int64_t>(present)}});
        return;
    }
    constexpr std::uint64_t phases = 101;
    const auto phase = static_cast<double>(settings_.nonce % phases) / phases;
    routes_ = std::make_shared<route_table>(std::move(configuration), phase);
    const auto& in_force = routes_->configuration();
    log_.state(
        gateway_event::configuration_in_force,
        {{"version", static_cast<std::int64_t>(in_force.version)},
         {"routes", static_cast<std::int64_t>(in_force.routes.size())}});
    plan_all();
}

void gateway::plan(const std::string& service)
{
    const auto limit =
        routes_ ? routes_->max_connections(service) : std::nullopt;
    const auto replicas = registry_.of_service(service);
    plan_connections(
        replicas,
        share_connections(limit.value_or(1), division_, replicas.size()),
        {settings_.where.address, settings_.data_centre});
    // Before the peers are known, too many would connect at once.
    if (!limit || clock_.now() - started_ < time_to_warm)
        return;
    for (const auto& it : replicas)
    {
        if (it->preferred())
            pool_.warm(it);
    }
}

void gateway::plan_all()
{
    if (!routes_)
        return;
    for (const auto& it : routes_->configuration().services)
        plan(it.name);
}

void gateway::member_changed(const member& value)
{
    members_changed_ = true;
    log_.state(
        gateway_event::member_changed,
        {{"address", value.where.address},
         {"state", to_string(value.state)},
         {"incarnation", static_cast<std::int64_t>(value.incarnation)}});
}

void gateway::peer_state(
    const endpoint& peer, std::uint64_t nonce, const datagram_header& state)
{
    if (const auto from = peers_.table().find_nonce(nonce))
        directory_.on_peer(
            nonce, state.busy_percent, from->capacity, clock_.now());
    if (!follower_)
        return;
    follower_->on_peer_state(peer, state.through, state.age);
    set_timer();
}

void gateway::peer_feed(const feed_message& message)
{
    if (!follower_)
        return;
    follower_->on_feed(message);
    set_timer();
}

datagram_header gateway::own_state() const
{
    datagram_header made;
    if (!follower_)
        return made;
    made.through = follower_->revision();
    made.age = follower_->age();
    made.busy_percent = directory_.busy_percent();
    return made;
}

void gateway::place_callers()
{
    const auto serving = shutdown_.phase() == shutdown_phase::serving;
    std::vector<member> live;
    if (serving)
        live.push_back(peers_.table().self());
    for (auto& it : peers_.table().members())
    {
        if (it.state == member_state::live)
            live.push_back(std::move(it));
    }
    const auto fleet = directory_.choose(
        std::move(live), registry_.count_by_data_centre(), instances_.value(),
        clock_.now());
    // A leaving instance keeps its part for the callers that still use it.
    if (serving)
        divide(fleet);
}

void gateway::divide(const fleet_division& fleet)
{
    if (fleet == division_)
        return;
    division_ = fleet;
    engine_.set_instances(1.0 / own_part(fleet));
    log_.state(
        gateway_event::work_divided,
        {{"instances", static_cast<std::int64_t>(fleet.instances)},
         {"named", static_cast<std::int64_t>(fleet.named)},
         {"self_named", fleet.self_named},
         {"busy_percent",
          static_cast<std::int64_t>(directory_.busy_percent())}});
    plan_all();
}

api_answer gateway::answer_peer(const caller_request& request)
{
    if (request.path() != feed_path)
        return {200, "text/plain; version=0.0.4", metrics_text()};
    const auto text = request.parameter("after");
    std::uint64_t after = 0;
    const auto* const end = text.data() + text.size();
    const auto [at, ec] = std::from_chars(text.data(), end, after);
    if (ec != std::errc() || at != end)
        return {400, {}, {}};
    if (!follower_ || !follower_->is_complete())
        return {503, {}, {}};
    const auto& body = feeds_.body(*follower_, peers_, after, clock_.now());
    if (body.empty())
        return {503, {}, {}};
    return {200, "application/octet-stream", body};
}

void gateway::process_paused(duration gap)
{
    log_.state(
        gateway_event::process_paused, {{"gap_ms", to_milliseconds(gap)}});
}

void gateway::count_instances()
{
    const auto changed = members_changed_;
    if (changed)
        set_place();
    const auto now = clock_.now();
    if (!warmed_ && now - started_ >= time_to_warm)
    {
        warmed_ = true;
        plan_all();
    }
    const auto seen = static_cast<std::uint32_t>(peers_.table().live_count());
    if (instances_.update(seen, now) || changed || directory_.due(now))
        place_callers();
}

void gateway::set_place()
{
    if (!follower_)
        return;
    members_changed_ = false;
    std::uint32_t before = 0;
    std::uint32_t live = 1;
    for (const auto& it : peers_.table().members())
    {
        if (it.state != member_state::live)
            continue;
        ++live;
        before += it.nonce < settings_.nonce ? 1 : 0;
    }
    follower_->set_position(before, live, settings_.store_calls_per_second);
}

void gateway::leave()
{
    log_.state(
        gateway_event::shutdown_phase,
        {{"phase", to_string(shutdown_.phase())}});
    peers_.leave();
    place_callers();
}

void gateway::drain()
{
    log_.state(
        gateway_event::shutdown_phase,
        {{"phase", to_string(shutdown_.phase())}});
    listener_.close_idle();
}

void gateway::stop(std::size_t cut_off)
{
    log_.state(
        gateway_event::stopped,
        {{"cut_off", static_cast<std::int64_t>(cut_off)}});
    log_.flush();
    loop_.stop();
}

void gateway::sweep()
{
    const auto now = clock_.now();
    const auto late =
        sweep_due_ == time_point{} ? duration::zero() : now - sweep_due_;
    lag_ += (std::max(late, duration::zero()) - lag_) / lag_weight;
    engine_.on_lag(lag_);
    listener_.sweep();
    for (auto& it : apis_)
        it.sweep();
    pool_.sweep();
    registry_.for_each(
        [this, now](const auto& it)
        {
            if (it->probe_due(now))
                pool_.probe(it);
        });
    directory_.measure(now);
    count_instances();
    if (shutdown_.phase() == shutdown_phase::draining)
        shutdown_.on_in_flight(pending_.size() + listener_.busy());
    log_.flush();
    sweep_due_ = clock_.now() + sweep_period;
    sweep_timer_.expires_at(sweep_due_);
    sweep_timer_.async_wait(
        [this](boost::system::error_code ec)
        {
            if (!ec)
                sweep();
        });
}

void gateway::wake()
{
    const auto now = clock_.now();
    engine_.on_timer();
    registry_.on_timer();
    if (follower_)
        follower_->on_timer();
    if (shutdown_.next_wakeup() <= now)
        shutdown_.on_timer();
    set_timer();
}

void gateway::set_timer()
{
    auto due = std::min(engine_.next_wakeup(), registry_.next_wakeup());
    due = std::min(due, shutdown_.next_wakeup());
    if (follower_)
        due = std::min(due, follower_->next_wakeup());
    if (due != time_point::max())
        timer_.set(due);
}

} // namespace turmericlane
