// The part of the class gateway that exchanges state with its peers and divides
// the work among them.

#include "gateway.h"

#include <algorithm>
#include <charconv>

namespace turmericlane
{

namespace
{

/** Number of instances that report recent departures to one that starts. */
constexpr std::uint32_t departure_reporters = 3;

} // namespace

void gateway::member_changed(const member& value)
{
    members_changed_ = true;
    log_.write_state(
        gateway_event::member_changed,
        {{"address", value.listen_endpoint.address},
         {"state", to_string(value.state)},
         {"incarnation", static_cast<std::int64_t>(value.incarnation)}});
    // An instance that has just started learns what entries may not show yet;
    // a few peers that tell it are enough.
    if (value.state == member_state::live &&
        store_position_ < departure_reporters)
        peers_.report_departures(
            value.listen_endpoint, departures_.recent(clock_.now()));
}

void gateway::peer_state_received(
    const endpoint& peer, std::uint64_t nonce, const datagram_header& state)
{
    if (const auto sender = peers_.table().find_by_nonce(nonce))
        directory_.on_peer_load(
            nonce, state.busy_percent, sender->capacity, clock_.now());
    if (!follower_)
        return;
    follower_->on_peer_state(
        peer, {state.era, state.complete_revision, state.confirmation_age});
    schedule_wakeup();
}

void gateway::peer_feed_received(const feed_message& message)
{
    if (!follower_)
        return;
    follower_->on_feed(message);
    schedule_wakeup();
}

void gateway::departure_reported(const departure_message& departure)
{
    registry_.on_departure_reported(
        departure.searcher_id, departure.incarnation);
}

void gateway::failures_reported(
    std::uint64_t nonce, const failure_report_message& report)
{
    auto* const failures = engine_.failures();
    const auto sender = peers_.table().find_by_nonce(nonce);
    if (failures == nullptr || !sender ||
        sender->data_centre != settings_.data_centre)
        return;
    std::vector<failure_count> counts;
    counts.reserve(report.counts.size());
    for (const auto& it : report.counts)
        counts.push_back({it.searcher_id, it.requests, it.failures});
    failures->on_report(nonce, counts);
}

void gateway::report_failures()
{
    auto* const failures = engine_.failures();
    if (failures == nullptr)
        return;
    failure_report_message report;
    for (auto& it : failures->take_report())
        report.counts.push_back(
            {std::move(it.searcher_id), it.requests, it.failures});
    metrics_.failing_searchers.set(
        static_cast<double>(failures->suspect_count()));
    if (!report.counts.empty())
        peers_.report_failures(report);
}

datagram_header gateway::own_state() const
{
    datagram_header header;
    if (!follower_)
        return header;
    const auto& position = follower_->position();
    header.era = position.era;
    header.complete_revision = position.revision;
    header.confirmation_age = follower_->age();
    header.busy_percent = directory_.busy_percent();
    return header;
}

void gateway::choose_instances()
{
    const auto is_serving = shutdown_.phase() == shutdown_phase::serving;
    std::vector<member> live_members;
    for (auto& it : peers_.table().members())
    {
        if (it.state == member_state::live)
            live_members.push_back(std::move(it));
    }
    auto usable_members = peers_.table().reachable_members();
    if (is_serving)
    {
        live_members.push_back(peers_.table().self());
        usable_members.push_back(peers_.table().self());
    }
    const auto live_count = live_members.size();
    engine_.set_local_instances(static_cast<std::uint32_t>(std::count_if(
        live_members.begin(), live_members.end(),
        [this](const member& it)
        { return it.data_centre == settings_.data_centre; })));
    const auto division = directory_.choose_instances(
        std::move(usable_members), registry_.count_by_data_centre(),
        instance_count_.value(), clock_.now());
    cold_searchers_.on_fleet(
        directory_.named_members(), live_count, instance_count_.value());
    // A leaving instance keeps its share for the callers that still use it.
    if (is_serving)
        apply_division(division);
}

void gateway::apply_division(const fleet_division& division)
{
    if (division == division_)
        return;
    division_ = division;
    engine_.set_instances(1.0 / own_share(division));
    log_.write_state(
        gateway_event::work_divided,
        {{"instances", static_cast<std::int64_t>(division.instances)},
         {"named", static_cast<std::int64_t>(division.named_instances)},
         {"self_named", division.is_self_named},
         {"busy_percent",
          static_cast<std::int64_t>(directory_.busy_percent())}});
    plan_services();
}

api_answer gateway::answer_peer_request(const caller_request& request)
{
    if (request.path() != feed_path)
        return {200, "text/plain; version=0.0.4", metrics_text()};
    const auto text = request.parameter("after");
    std::uint64_t revision = 0;
    const auto* const end = text.data() + text.size();
    const auto [position, ec] = std::from_chars(text.data(), end, revision);
    if (ec != std::errc() || position != end)
        return {400, {}, {}};
    const auto era_text = request.parameter("era");
    const auto era = parse_era_parameter(era_text);
    if (!era && !era_text.empty())
        return {400, {}, {}};
    if (!follower_ || !follower_->is_complete())
        return {503, {}, {}};
    const auto& body =
        feed_cache_.body(*follower_, peers_, era, revision, clock_.now());
    if (body.empty())
        return {503, {}, {}};
    return {200, "application/octet-stream", body};
}

void gateway::update_store_place()
{
    if (!follower_)
        return;
    members_changed_ = false;
    std::uint32_t place = 0;
    std::uint32_t live_count = 1;
    for (const auto& it : peers_.table().members())
    {
        if (it.state != member_state::live)
            continue;
        ++live_count;
        place += it.nonce < settings_.nonce ? 1 : 0;
    }
    store_position_ = place;
    follower_->set_position(
        place, live_count, settings_.store_calls_per_second);
}

} // namespace turmericlane
