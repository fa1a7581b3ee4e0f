#include "peer_service.h"

#include "../log/event.h"
#include "peer_keys.h"

namespace turmericlane
{

peer_service::peer_service(
    const instance_settings& settings,
    std::uint64_t nonce,
    instance_counters& counters)
    : settings_(settings)
    , nonce_(nonce)
    , counters_(counters)
{
}

peer_service::~peer_service() = default;

std::optional<std::string> peer_service::start(kernel& owner)
{
    engine_ = owner.find_as<engine>("engine");
    auto keys = load_peer_keys(settings_.peer_key_file);
    if (!keys)
        return keys.error();
    peer_settings network_settings;
    network_settings.listen_address = {settings_.address, settings_.peer_port};
    network_settings.keys = *keys;
    network_settings.instance = settings_.index;
    network_settings.nonce = nonce_;
    network_settings.unproven_session_limit = settings_.unproven_peers;
    network_ =
        std::make_unique<peer_network>(network_settings, *this, counters_);
    return network_->start();
}

void peer_service::stop()
{
    network_->stop();
}

void peer_service::subscribe(peer_subscriber& subscriber)
{
    engine_->run_and_wait([&] { subscribers_.push_back(&subscriber); });
}

void peer_service::connect(const peer_address& address)
{
    network_->connect(address);
}

void peer_service::disconnect(const peer_address& address)
{
    network_->disconnect(address);
}

bool peer_service::is_connected(ordinal index) const
{
    return network_->is_connected(index);
}

void peer_service::set_bundle_version(std::uint64_t version)
{
    bundle_version_ = version;
    network_->set_bundle_version(version);
}

message_header peer_service::make_header() const
{
    return {nonce_, settings_.index, bundle_version_};
}

void peer_service::on_connected(const peer_identity& peer)
{
    log_event(
        event::peer_connected, {{"ordinal", std::to_string(peer.instance)},
                                {"nonce", std::to_string(peer.nonce)}});
    engine_->post(
        [this, peer]
        {
            for (auto* it : subscribers_)
                it->on_peer_connected(peer);
        });
}

void peer_service::on_closed(const peer_identity& peer, reason cause)
{
    log_event(
        event::peer_closed, {{"ordinal", std::to_string(peer.instance)},
                             {"reason", std::string(to_string(cause))}});
    engine_->post(
        [this, peer]
        {
            for (auto* it : subscribers_)
                it->on_peer_disconnected(peer);
        });
}

template <class T>
void peer_service::dispatch_message(
    const peer_identity& peer, std::span<const std::uint8_t> payload)
{
    auto message = decode_message<T>(payload);
    // A peer may only send messages under its own identity.
    if (!message || message->header.nonce != peer.nonce ||
        message->header.sender != peer.instance)
    {
        counters_.count_dropped_reply(reason::frame_malformed);
        return;
    }
    auto shared_message =
        std::make_shared<const received_message<T>>(std::move(*message));
    engine_->post(
        [this, shared_message]
        {
            for (auto* it : subscribers_)
                it->on_any_message(shared_message->header);
            for (auto* it : subscribers_)
                it->on_message(shared_message->header, shared_message->body);
        });
}

void peer_service::on_message(
    const peer_identity& peer,
    frame_type type,
    std::span<const std::uint8_t> payload)
{
    switch (type)
    {
    case frame_type::search_batch:
        return dispatch_message<search_batch>(peer, payload);
    case frame_type::shard_reply:
        return dispatch_message<shard_reply_batch>(peer, payload);
    case frame_type::cancel:
        return dispatch_message<cancel_message>(peer, payload);
    case frame_type::booking_forward:
        return dispatch_message<booking_forward_message>(peer, payload);
    case frame_type::booking_execute:
        return dispatch_message<booking_execute_message>(peer, payload);
    case frame_type::booking_reply:
        return dispatch_message<booking_reply_message>(peer, payload);
    case frame_type::heartbeat:
        return dispatch_message<membership_message>(peer, payload);
    case frame_type::bundle_request:
        return dispatch_message<bundle_request_message>(peer, payload);
    case frame_type::bundle_delta:
        return dispatch_message<bundle_delta_message>(peer, payload);
    case frame_type::bundle_full:
        return dispatch_message<bundle_full_message>(peer, payload);
    case frame_type::hello:
    case frame_type::store_feed:
    case frame_type::searcher_departure:
    case frame_type::searcher_failures:
        break;
    }
    counters_.count_dropped_reply(reason::frame_malformed);
}

} // namespace turmericlane
