#pragma once

#include "../peers/peer_service.h"
#include "../platform/platform_client.h"

#include <turmericlane_decisions/turmericlane_decisions.h>
#include <turmericlane_state/turmericlane_state.h>

#include <memory>
#include <vector>

namespace turmericlane
{

/** The service "members": which instances there are, from the platform's list
    and from the instances themselves. It keeps sessions to all of them.

    Methods are called on the engine's loop unless they say otherwise.

    @see membership_table
*/
class member_service final : public service,
                             public owner_directory,
                             public turn_participant,
                             public peer_subscriber,
                             public membership_actions
{
public:
    /** @param nonce     start-up nonce of this process
        @param counters  must outlive the service */
    member_service(
        const node_settings& settings,
        std::uint64_t nonce,
        instance_counters& counters);
    ~member_service() override;

    std::string_view name() const noexcept override
    {
        return "members";
    }

    std::optional<std::string> start(kernel& owner) override;
    void stop() override;

    /** True if the instance can be used as an owner: this one, or one that is
        live and has a session. */
    bool is_usable(ordinal owner) const override;

    /** The fleet as this instance sees it. */
    membership_table& table()
    {
        return *table_;
    }

    /** Answers a caller's question which instances to use. */
    instance_answer answer();

    /** True once the list was read and every live instance has a session, or
        the start-up limit has passed: before that, owners seem to be missing
        that are only not connected yet. A pause begins it anew. */
    bool settled() const noexcept
    {
        return settled_;
    }

    /** Instances that list and peers name, without this one. */
    std::size_t peer_count() const;

private:
    time_point on_turn() override;
    void on_pause(duration length) override;
    void on_peer_connected(const peer_identity& peer) override;
    void on_peer_lost(const peer_identity& peer) override;
    void on_peer_seen(const message_header& header) override;
    void on_message(
        const message_header& header,
        const membership_message& message) override;
    void send(const endpoint& to, const membership_message& message) override;
    void on_member_changed(const member& value) override;
    void on_process_paused(duration gap) override;

    void read_list();
    void on_list_answer(const platform_answer& answer);
    void refresh(ordinal index);
    void update_settled(time_point now);

    const node_settings& settings_;
    std::uint64_t nonce_;
    instance_counters& counters_;
    std::shared_ptr<engine> engine_;
    std::shared_ptr<peer_service> peers_;
    std::unique_ptr<membership_table> table_;
    platform_client list_;
    bool list_failed_ = false;
    bool list_reading_ = false;
    bool list_answered_ = false;
    bool settled_ = false;
    /** Instances in the list when it was last read. */
    std::size_t listed_count_ = 0;
    time_point settle_at_{};
    time_point next_list_read_{};
    std::vector<bool> usable_;
    std::vector<ordinal> to_refresh_;
    std::uint64_t rotation_ = 0;
};

} // namespace turmericlane
