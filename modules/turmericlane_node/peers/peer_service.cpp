#include "peer_service.h"

#include "../log/event.h"
#include "peer_keys.h"

namespace turmericlane
{

peer_service::peer_service(
    const node_settings& settings,
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
    peer_settings made;
    made.listen_address = {settings_.address, settings_.peer_port};
    made.keys = *keys;
    made.instance = settings_.index;
    made.nonce = nonce_;
    network_ = std::make_unique<peer_network>(made, *this, counters_);
    return network_->start();
}

void peer_service::stop()
{
    network_->stop();
}

void peer_service::subscribe(peer_subscriber& added)
{
    engine_->call([&] { subscribers_.push_back(&added); });
}

void peer_service::connect(const peer_address& to)
{
    network_->connect(to);
}

void peer_service::disconnect(const peer_address& from)
{
    network_->disconnect(from);
}

bool peer_service::connected(ordinal with) const
{
    return network_->is_connected(with);
}

void peer_service::set_bundle_version(std::uint64_t version)
{
    bundle_version_ = version;
    network_->set_bundle_version(version);
}

message_header peer_service::header() const
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

void peer_service::on_closed(const peer_identity& peer, reason why)
{
    log_event(
        event::peer_closed, {{"ordinal", std::to_string(peer.instance)},
                             {"reason", std::string(to_string(why))}});
    engine_->post(
        [this, peer]
        {
            for (auto* it : subscribers_)
                it->on_peer_lost(peer);
        });
}

template <class T>
void peer_service::forward(
    const peer_identity& peer, std::span<const std::uint8_t> payload)
{
    auto decoded = decode_message<T>(payload);
    // A peer may only speak for itself.
    if (!decoded || decoded->header.nonce != peer.nonce ||
        decoded->header.sender != peer.instance)
    {
        counters_.count_dropped_reply(reason::frame_malformed);
        return;
    }
    auto shared =
        std::make_shared<const received_message<T>>(std::move(*decoded));
    engine_->post(
        [this, shared]
        {
            for (auto* it : subscribers_)
                it->on_peer_seen(shared->header);
            for (auto* it : subscribers_)
                it->on_message(shared->header, shared->body);
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
        return forward<search_batch>(peer, payload);
    case frame_type::shard_reply:
        return forward<shard_reply_batch>(peer, payload);
    case frame_type::cancel:
        return forward<cancel_message>(peer, payload);
    case frame_type::booking_forward:
        return forward<booking_forward_message>(peer, payload);
    case frame_type::booking_execute:
        return forward<booking_execute_message>(peer, payload);
    case frame_type::booking_reply:
        return forward<booking_reply_message>(peer, payload);
    case frame_type::heartbeat:
        return forward<membership_message>(peer, payload);
    case frame_type::bundle_request:
        return forward<bundle_request_message>(peer, payload);
    case frame_type::bundle_delta:
        return forward<bundle_delta_message>(peer, payload);
    case frame_type::bundle_full:
        return forward<bundle_full_message>(peer, payload);
    case frame_type::hello:
    case frame_type::store_feed:
        break;
    }
    counters_.count_dropped_reply(reason::frame_malformed);
}

} // namespace turmericlane
