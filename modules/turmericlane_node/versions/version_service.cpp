#include "version_service.h"

#include "../log/event.h"

namespace turmericlane
{

namespace
{

/** Added to the time for which the configuration service may hold a read
    open. */
constexpr std::chrono::milliseconds read_margin{2000};

/** Interval at which the membership is checked for whether this instance reads
    the configuration service. */
constexpr std::chrono::milliseconds role_period{500};

result<trusted_keys> read_trusted_keys(const std::string& setting)
{
    auto keys = trusted_keys::parse(setting);
    if (keys)
        return keys;
    return load_trusted_keys(setting);
}

} // namespace

version_service::version_service(
    const instance_settings& settings,
    std::uint64_t nonce,
    instance_counters& counters)
    : settings_(settings)
    , nonce_(nonce)
    , counters_(counters)
    , configuration_client_(settings.configuration_service)
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
    engine_->run_and_wait(
        [&]
        {
            const auto& time_source = engine_->time_source();
            store_ =
                std::make_unique<version_store>(*keys, time_source, nullptr);
            spread_ = std::make_unique<version_spread>(
                version_spread_limits(), nonce_, time_source, *this);
            reader_ = std::make_unique<platform_reader>(
                platform_reader_limits(), nonce_, time_source, *this);
            gate_ = std::make_unique<startup_gate>(
                settings_.startup_limit, time_source);
        });
    configuration_client_.start();
    peers_->subscribe(*this);
    engine_->run_and_wait([this] { reader_->read_once(); });
    engine_->add(*this);
    return std::nullopt;
}

void version_service::stop()
{
    configuration_client_.stop();
}

void version_service::subscribe(bundle_subscriber& subscriber)
{
    engine_->run_and_wait(
        [&]
        {
            subscribers_.push_back(&subscriber);
            if (bundle_in_force_)
                subscriber.on_bundle(bundle_in_force_);
        });
}

std::shared_ptr<const bundle> version_service::bundle_in_force() const
{
    std::lock_guard lock(mutex_);
    return bundle_in_force_;
}

version_status version_service::status() const
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    version_status current_status;
    current_status.version = store_->version();
    current_status.age = duration_cast<milliseconds>(store_->age());
    current_status.source = to_string(store_->origin().source);
    current_status.is_confirmed = gate_->is_version_confirmed();
    current_status.refusal_cause = gate_->refusal_reason();
    return current_status;
}

time_point version_service::on_iteration()
{
    const auto now = engine_->time_source().now();
    if (now >= next_role_update_)
        update_role(now);
    if (now >= spread_->next_wakeup())
        spread_->on_timer();
    if (now >= reader_->next_wakeup())
        reader_->on_timer();
    return std::min(
        {next_role_update_, spread_->next_wakeup(), reader_->next_wakeup()});
}

void version_service::update_role(time_point now)
{
    next_role_update_ = now + role_period;
    reader_->set_watching(members_->table().is_reader());
    gate_->on_peer_count(members_->peer_count());
    log_unconfirmed();
}

void version_service::log_unconfirmed()
{
    const auto is_unconfirmed =
        gate_->is_serving() && !gate_->is_version_confirmed();
    if (is_unconfirmed && !is_unconfirmed_logged_)
        log_event(
            event::serving_unconfirmed,
            {{"version", std::to_string(store_->version())}});
    is_unconfirmed_logged_ = is_unconfirmed;
}

void version_service::on_pause(duration)
{
    gate_->on_pause();
    store_->on_pause_detected();
    reader_->read_once();
}

void version_service::on_any_message(const message_header& header)
{
    const auto is_news = peer_versions_.on_frame(
        header.nonce, header.bundle_version, store_->version());
    if (!is_news && gate_->is_version_confirmed())
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
    const auto offer = store_->offer_delta(message.text, origin);
    // The delta was made for another base than the bundle in force, so the
    // full bundle is requested.
    const auto has_other_base = offer.state == offer_result::refused &&
                                (offer.cause == reason::stale_version ||
                                 offer.cause == reason::version_conflict) &&
                                header.bundle_version > store_->version();
    if (has_other_base)
        peers_->send(header.sender, bundle_request_message{0});
    else
        handle_offer(offer, origin, header.nonce, header.bundle_version);
}

void version_service::on_message(
    const message_header& header, const bundle_full_message& message)
{
    const auto origin = version_origin::from_peer(header.sender);
    handle_offer(
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
    const auto record = members_->table().find_by_nonce(peer);
    if (!record)
        return;
    send_bundle(record->index, peer_versions_.version_of(peer));
}

void version_service::request(std::uint64_t peer, std::uint64_t version)
{
    const auto record = members_->table().find_by_nonce(peer);
    // A failed send shows as a timeout of the request.
    if (record)
        peers_->send(record->index, bundle_request_message{version});
}

void version_service::send_bundle(ordinal peer, std::uint64_t known_version)
{
    const auto full_envelope = store_->envelope_in_force();
    if (full_envelope == nullptr || known_version >= full_envelope->version)
        return;
    if (const auto delta = store_->make_delta_from(known_version))
        peers_->send(peer, bundle_delta_message{delta->to_text()});
    else
        peers_->send(peer, bundle_full_message{full_envelope->to_text()});
}

void version_service::read(std::uint64_t known_version, duration max_wait)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    counters_.count_platform_read();
    const auto wait_ms = duration_cast<milliseconds>(max_wait);
    configuration_client_.get(
        "/v1/bundle?after=" + std::to_string(known_version) +
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
        if (!std::exchange(has_configuration_failed_, true))
            log_event(event::configuration_read_failed, {{"detail", detail}});
        gate_->on_platform_failure();
        reader_->on_failure();
        return;
    }
    if (std::exchange(has_configuration_failed_, false))
        log_event(event::configuration_read_restored, {});
    if (answer.status == 204)
        return on_platform_unchanged();
    const auto origin = version_origin::from_platform();
    const auto offer = store_->offer(answer.body, origin);
    handle_platform_offer(offer);
    gate_->on_platform_answer(store_->version());
    if (offer.state == offer_result::refused)
        reader_->on_refused_bundle();
    else
        reader_->on_answer();
}

void version_service::on_platform_unchanged()
{
    gate_->on_platform_answer(0);
    if (!reader_->is_checking())
    {
        store_->on_platform_unchanged();
        reader_->on_answer();
        return;
    }
    set_platform_older(true, 0);
    reader_->on_older_version();
}

void version_service::handle_platform_offer(const offer_outcome& offer)
{
    const auto is_refused = offer.state == offer_result::refused;
    // A service that sends a refused bundle repeats it with each answer.
    const auto is_repeated =
        is_refused && refused_platform_offer_ ==
                          std::optional(std::pair(offer.cause, offer.version));
    refused_platform_offer_.reset();
    if (is_refused)
        refused_platform_offer_.emplace(offer.cause, offer.version);
    if (is_repeated)
        counters_.count_refusal(offer.cause, rank::ordinary);
    else
        handle_offer(offer, version_origin::from_platform(), 0, offer.version);
    if (is_refused && offer.cause == reason::stale_version)
        set_platform_older(true, offer.version);
    else if (!is_refused || offer.cause == reason::version_conflict)
        set_platform_older(false, offer.version);
}

void version_service::set_platform_older(bool is_older, std::uint64_t version)
{
    if (is_older)
        counters_.count_older_configuration();
    if (std::exchange(is_platform_older_, is_older) == is_older)
        return;
    const auto in_force = std::to_string(store_->version());
    if (is_older)
        log_event(
            event::configuration_older,
            {{"in_force", in_force}, {"version", std::to_string(version)}});
    else
        log_event(event::configuration_level, {{"in_force", in_force}});
}

void version_service::handle_offer(
    const offer_outcome& offer,
    version_origin origin,
    std::uint64_t peer,
    std::uint64_t version)
{
    if (offer.state == offer_result::accepted)
        return put_in_force(origin, peer);
    if (offer.state == offer_result::unchanged)
        return;
    counters_.count_refusal(offer.cause, rank::ordinary);
    log_event(
        event::bundle_refused,
        {{"reason", std::string(to_string(offer.cause))},
         {"version", std::to_string(version)},
         {"source", std::string(to_string(origin.source))},
         {"detail", offer.detail}});
    if (peer != 0)
        spread_->on_bundle_refused(peer, version);
}

void version_service::put_in_force(version_origin origin, std::uint64_t peer)
{
    const auto new_bundle = store_->bundle_in_force();
    {
        std::lock_guard lock(mutex_);
        bundle_in_force_ = new_bundle;
    }
    log_event(
        event::bundle_in_force,
        {{"version", std::to_string(new_bundle->version)},
         {"source", std::string(to_string(origin.source))}});
    peers_->set_bundle_version(new_bundle->version);
    reader_->set_version_in_force(new_bundle->version);
    gate_->on_version_in_force(new_bundle->version);
    for (auto* it : subscribers_)
        it->on_bundle(new_bundle);
    spread_->on_version_in_force(new_bundle->version, peer);
}

} // namespace turmericlane
