#pragma once

#include "../members/member_service.h"
#include "bundle_subscriber.h"

#include <mutex>
#include <optional>
#include <utility>

namespace turmericlane
{

/** Status of the bundle version in force. */
struct version_status
{
    std::uint64_t version = 0;
    std::chrono::milliseconds age{0};
    std::string source;
    bool is_confirmed = false;
    /** Reason why requests are refused; none if they are served. */
    reason refusal_cause = reason::none;
};

/** The service "versions": gets bundle versions from the configuration service
    and from peers, and puts them in force.

    Methods are called on the engine's loop unless they say otherwise.

    @see version_store, version_spread, platform_reader, startup_gate
*/
class version_service final : public service,
                              public loop_component,
                              public peer_subscriber,
                              public version_spread_actions,
                              public platform_actions
{
public:
    /** @param nonce     start-up nonce of this process
        @param counters  must outlive the service */
    version_service(
        const instance_settings& settings,
        std::uint64_t nonce,
        instance_counters& counters);
    ~version_service() override;

    std::string_view name() const noexcept override
    {
        return "versions";
    }

    std::optional<std::string> start(kernel& owner) override;
    void stop() override;

    /** Adds a subscriber, which must live until the service has stopped. Called
        from service::start. */
    void subscribe(bundle_subscriber& subscriber);

    /** Returns the bundle in force; null if there is none. Any thread may
        call. */
    std::shared_ptr<const bundle> bundle_in_force() const;

    /** Returns the status of the version in force. */
    version_status status() const;

private:
    time_point on_iteration() override;
    void on_pause(duration length) override;
    void on_any_message(const message_header& header) override;
    void on_message(
        const message_header& header,
        const bundle_request_message& message) override;
    void on_message(
        const message_header& header,
        const bundle_delta_message& message) override;
    void on_message(
        const message_header& header,
        const bundle_full_message& message) override;
    std::vector<std::uint64_t> sample(std::size_t count) override;
    void push(std::uint64_t peer, std::uint64_t version) override;
    void request(std::uint64_t peer, std::uint64_t version) override;
    void read(std::uint64_t known_version, duration max_wait) override;

    void on_platform_answer(const platform_answer& answer);
    void on_platform_unchanged();
    void handle_platform_offer(const offer_outcome& offer);
    /** Records whether the configuration service lacks the version in force,
        and logs a change.
        @param version  version that it sent; 0 if it sent none */
    void set_platform_older(bool is_older, std::uint64_t version);
    void handle_offer(
        const offer_outcome& offer,
        version_origin origin,
        std::uint64_t peer,
        std::uint64_t version);
    void put_in_force(version_origin origin, std::uint64_t peer);
    void send_bundle(ordinal peer, std::uint64_t known_version);
    void update_role(time_point now);
    void log_unconfirmed();

    const instance_settings& settings_;
    std::uint64_t nonce_;
    instance_counters& counters_;
    std::shared_ptr<engine> engine_;
    std::shared_ptr<peer_service> peers_;
    std::shared_ptr<member_service> members_;
    std::unique_ptr<version_store> store_;
    std::unique_ptr<version_spread> spread_;
    std::unique_ptr<platform_reader> reader_;
    std::unique_ptr<startup_gate> gate_;
    platform_client configuration_client_;
    bool has_configuration_failed_ = false;
    bool is_platform_older_ = false;
    /** Reason and version of the bundle that the configuration service sent
        last, if it was refused. */
    std::optional<std::pair<reason, std::uint64_t>> refused_platform_offer_;
    bool is_unconfirmed_logged_ = false;
    time_point next_role_update_{};
    peer_versions peer_versions_;
    std::vector<bundle_subscriber*> subscribers_;
    mutable std::mutex mutex_;
    std::shared_ptr<const bundle> bundle_in_force_;
};

} // namespace turmericlane
