#include "version_service.h"

#include "../log/event.h"

namespace turmericlane
{

namespace
{

/** Added to the time that the configuration service may hold a read. */
constexpr std::chrono::milliseconds read_margin{2000};

/** How often the role as a reader is derived from the membership. */
constexpr std::chrono::milliseconds role_period{500};

/** Peers whose version is remembered; above this the map is emptied, which
    costs a full bundle in place of a delta. */
constexpr std::size_t max_peer_versions = 10'000;

result<trusted_keys> read_trusted_keys(const std::string& setting)
{
    auto parsed = trusted_keys::parse(setting);
    if (parsed)
        return parsed;
    return load_trusted_keys(setting);
}

} // namespace

version_service::version_service(
    const node_settings& settings,
    std::uint64_t nonce,
    instance_counters& counters)
    : settings_(settings)
    , nonce_(nonce)
    , counters_(counters)
    , configuration_(settings.configuration_service)
{
}

version_service::~version_service() = default;

std::optional<std::string> version_service::start(kernel& owner)
{
    engine_ = owner.find_as<engine>("engine");
    peers_ = owner.find_as<peer_service>("peers");
    members_ = owner.find_as<member_service>("members");
    auto keys = read_trusted_keys(settings_.trusted_keys);
    if (!keys)
        return keys.error();
    engine_->call(
        [&]
        {
            const auto& time = engine_->time();
            store_ = std::make_unique<version_store>(*keys, time, nullptr);
            spread_ = std::make_unique<version_spread>(
                version_spread_limits(), nonce_, time, *this);
            reader_ = std::make_unique<platform_reader>(
                platform_reader_limits(), nonce_, time, *this);
            gate_ =
                std::make_unique<startup_gate>(settings_.startup_limit, time);
        });
    configuration_.start();
    peers_->subscribe(*this);
    engine_->call([this] { reader_->read_once(); });
    engine_->add(*this);
    return std::nullopt;
}

void version_service::stop()
{
    configuration_.stop();
}

void version_service::subscribe(bundle_subscriber& added)
{
    engine_->call(
        [&]
        {
            subscribers_.push_back(&added);
            if (in_force_)
                added.on_bundle(in_force_);
        });
}

std::shared_ptr<const bundle> version_service::in_force() const
{
    std::lock_guard lock(mutex_);
    return in_force_;
}

version_status version_service::status() const
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    version_status made;
    made.version = store_->version();
    made.age = duration_cast<milliseconds>(store_->age());
    made.source = to_string(store_->origin().source);
    made.confirmed = gate_->is_version_confirmed();
    made.why_not = gate_->refusal_reason();
    return made;
}

time_point version_service::on_turn()
{
    const auto now = engine_->time().now();
    if (now >= next_role_check_)
        update_role(now);
    if (now >= spread_->next_wakeup())
        spread_->on_timer();
    if (now >= reader_->next_wakeup())
        reader_->on_timer();
    return std::min(
        {next_role_check_, spread_->next_wakeup(), reader_->next_wakeup()});
}

void version_service::update_role(time_point now)
{
    next_role_check_ = now + role_period;
    reader_->set_watching(members_->table().is_reader());
    gate_->on_peer_count(members_->peer_count());
    log_unconfirmed();
}

void version_service::log_unconfirmed()
{
    const auto unconfirmed =
        gate_->is_serving() && !gate_->is_version_confirmed();
    if (unconfirmed && !unconfirmed_logged_)
        log_event(
            event::serving_unconfirmed,
            {{"version", std::to_string(store_->version())}});
    unconfirmed_logged_ = unconfirmed;
}

void version_service::on_pause(duration)
{
    gate_->on_pause();
    store_->on_pause_detected();
    reader_->read_once();
}

void version_service::on_peer_seen(const message_header& header)
{
    auto& known = peer_versions_[header.nonce];
    const auto first = known == 0;
    const auto repeated = known == header.bundle_version && !first;
    known = header.bundle_version;
    if (peer_versions_.size() > max_peer_versions)
        peer_versions_.clear();
    if (repeated && gate_->is_version_confirmed())
        return;
    spread_->on_version_seen(header.nonce, header.bundle_version);
    store_->on_peer_version(header.sender, header.bundle_version);
    gate_->on_peer_answer(header.bundle_version);
}

void version_service::on_message(
    const message_header& header, const bundle_request_message& message)
{
    send_bundle(header.sender, message.current_version);
}

void version_service::on_message(
    const message_header& header, const bundle_delta_message& message)
{
    const auto origin = version_origin::from_peer(header.sender);
    const auto outcome = store_->offer_delta(message.text, origin);
    // A delta for another base than the version in force doesn't fit.
    const auto other_base = outcome.state == offer_result::refused &&
                            outcome.cause == reason::stale_version &&
                            header.bundle_version > store_->version();
    if (other_base)
        peers_->send(header.sender, bundle_request_message{0});
    else
        handle(outcome, origin, header.nonce, header.bundle_version);
}

void version_service::on_message(
    const message_header& header, const bundle_full_message& message)
{
    const auto origin = version_origin::from_peer(header.sender);
    handle(
        store_->offer(message.text, origin), origin, header.nonce,
        header.bundle_version);
}

std::vector<std::uint64_t> version_service::sample(std::size_t count)
{
    std::vector<std::uint64_t> nonces;
    for (const auto& it : members_->table().sample(count))
        nonces.push_back(it.nonce);
    return nonces;
}

void version_service::push(std::uint64_t peer, std::uint64_t)
{
    const auto found = members_->table().find_by_nonce(peer);
    if (!found)
        return;
    const auto known = peer_versions_.find(peer);
    send_bundle(
        found->index, known != peer_versions_.end() ? known->second : 0);
}

void version_service::request(std::uint64_t peer, std::uint64_t version)
{
    const auto found = members_->table().find_by_nonce(peer);
    // A failed send is noticed by the time-out of the request.
    if (found)
        peers_->send(found->index, bundle_request_message{version});
}

void version_service::send_bundle(ordinal to, std::uint64_t have_version)
{
    const auto whole = store_->envelope_in_force();
    if (whole == nullptr || have_version >= whole->version)
        return;
    if (const auto delta = store_->make_delta_from(have_version))
        peers_->send(to, bundle_delta_message{delta->to_text()});
    else
        peers_->send(to, bundle_full_message{whole->to_text()});
}

void version_service::read(std::uint64_t after, duration wait)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    counters_.count_platform_read();
    const auto wait_ms = duration_cast<milliseconds>(wait);
    configuration_.get(
        "/v1/bundle?after=" + std::to_string(after) +
            "&wait_ms=" + std::to_string(wait_ms.count()),
        wait_ms + read_margin,
        [this](platform_answer answer)
        {
            engine_->post([this, answer = std::move(answer)]
                          { on_platform_answer(answer); });
        });
}

void version_service::on_platform_answer(const platform_answer& answer)
{
    if (answer.status != 200 && answer.status != 204)
    {
        const auto detail =
            answer.status == 0 ? answer.error
                               : "HTTP status " + std::to_string(answer.status);
        if (!std::exchange(configuration_failed_, true))
            log_event(event::configuration_read_failed, {{"detail", detail}});
        gate_->on_platform_failure();
        reader_->on_failure();
        return;
    }
    if (std::exchange(configuration_failed_, false))
        log_event(event::configuration_read_restored, {});
    if (answer.status == 204)
    {
        store_->on_platform_unchanged();
        gate_->on_platform_answer(0);
        reader_->on_answer();
        return;
    }
    const auto origin = version_origin::from_platform();
    const auto outcome = store_->offer(answer.body, origin);
    handle(outcome, origin, 0, 0);
    gate_->on_platform_answer(store_->version());
    if (outcome.state == offer_result::refused)
        reader_->on_failure();
    else
        reader_->on_answer();
}

void version_service::handle(
    const offer_outcome& outcome,
    version_origin origin,
    std::uint64_t peer,
    std::uint64_t version)
{
    if (outcome.state == offer_result::accepted)
        return put_in_force(origin, peer);
    if (outcome.state == offer_result::unchanged)
        return;
    counters_.count_refusal(outcome.cause, rank::ordinary);
    log_event(
        event::bundle_refused,
        {{"reason", std::string(to_string(outcome.cause))},
         {"version", std::to_string(version)},
         {"source", std::string(to_string(origin.source))},
         {"detail", outcome.detail}});
    if (peer != 0)
        spread_->on_bundle_refused(peer, version);
}

void version_service::put_in_force(version_origin origin, std::uint64_t peer)
{
    const auto now_in_force = store_->bundle_in_force();
    {
        std::lock_guard lock(mutex_);
        in_force_ = now_in_force;
    }
    log_event(
        event::bundle_in_force,
        {{"version", std::to_string(now_in_force->version)},
         {"source", std::string(to_string(origin.source))}});
    peers_->set_bundle_version(now_in_force->version);
    reader_->set_version_in_force(now_in_force->version);
    gate_->on_version_in_force(now_in_force->version);
    for (auto* it : subscribers_)
        it->on_bundle(now_in_force);
    spread_->on_version_in_force(now_in_force->version, peer);
}

} // namespace turmericlane
