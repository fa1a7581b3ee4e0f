#pragma once

#include "../engine/engine.h"
#include "../settings/instance_settings.h"
#include "peer_subscriber.h"

#include <atomic>
#include <memory>
#include <vector>

namespace turmericlane
{

/** The service "peers": sessions with other instances. It decodes messages on
    the network threads and passes them to its subscribers on the engine's loop.

    Methods are called on the engine's loop unless they say otherwise.

    @see peer_network, peer_subscriber
*/
class peer_service final : public service, public peer_listener
{
public:
    /** @param settings  addresses and keys
        @param nonce     start-up nonce of this process
        @param counters  must outlive the service */
    peer_service(
        const instance_settings& settings,
        std::uint64_t nonce,
        instance_counters& counters);
    ~peer_service() override;

    std::string_view name() const noexcept override
    {
        return "peers";
    }

    std::optional<std::string> start(kernel& owner) override;
    void stop() override;

    /** Adds a subscriber, which must live until the service has stopped. */
    void subscribe(peer_subscriber& subscriber);

    /** Keeps a session with an address open. */
    void connect(const peer_address& address);

    /** Ends the effect of connect. */
    void disconnect(const peer_address& address);

    /** True if there is a session with that instance. */
    bool is_connected(ordinal index) const;

    /** Sets the bundle version that further messages carry. */
    void set_bundle_version(std::uint64_t version);

    /** Queues a message.
        @returns false if no byte of it was or will be sent */
    template <class T>
    bool send(ordinal peer, const T& message)
    {
        return network_->send(peer, encoder_.encode(make_header(), message));
    }

    /** Queues a message for the session that connect opened with the
        address. */
    template <class T>
    bool send(const peer_address& address, const T& message)
    {
        return network_->send(address, encoder_.encode(make_header(), message));
    }

private:
    void on_connected(const peer_identity& peer) override;
    void on_message(
        const peer_identity& peer,
        frame_type type,
        std::span<const std::uint8_t> payload) override;
    void on_closed(const peer_identity& peer, reason cause) override;
    message_header make_header() const;

    template <class T>
    void dispatch_message(
        const peer_identity& peer, std::span<const std::uint8_t> payload);

    const instance_settings& settings_;
    std::uint64_t nonce_;
    instance_counters& counters_;
    std::shared_ptr<engine> engine_;
    std::unique_ptr<peer_network> network_;
    message_encoder encoder_;
    std::atomic<std::uint64_t> bundle_version_{0};
    std::vector<peer_subscriber*> subscribers_;
};

} // namespace turmericlane
