#pragma once

#include "../peers/peer_service.h"
#include "../platform/platform_client.h"

#include <turmericlane_decisions/turmericlane_decisions.h>
#include <turmericlane_state/turmericlane_state.h>

#include <memory>
#include <vector>

namespace turmericlane
{

/** The service "members": learns of the other instances from the platform's
    list and from their messages, and keeps a session with each of them.

    Methods are called on the engine's loop unless they say otherwise.

    @see membership_table
*/
class member_service final : public service,
                             public owner_directory,
                             public loop_component,
                             public peer_subscriber,
                             public membership_actions
{
public:
    /** @param nonce     start-up nonce of this process
        @param counters  must outlive the service */
    member_service(
        const instance_settings& settings,
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

    /** Returns the fleet as this instance sees it. */
    membership_table& table()
    {
        return *table_;
    }

    /** Makes the answer for a caller that asks which instances to use. */
    instance_answer make_answer();

    /** True once the list was read and every live instance has a session, or
        the start-up limit has passed. Before that, owners that are not
        connected yet would be taken for missing ones. False again after a
        pause. */
    bool is_ready() const noexcept
    {
        return is_ready_;
    }

    /** Returns the number of other instances known from the list and from
        peers. */
    std::size_t peer_count() const;

private:
    time_point on_iteration() override;
    void on_pause(duration length) override;
    void on_peer_connected(const peer_identity& peer) override;
    void on_peer_disconnected(const peer_identity& peer) override;
    void on_any_message(const message_header& header) override;
    void on_message(
        const message_header& header,
        const membership_message& message) override;
    void send(const endpoint& destination, const membership_message& message)
        override;
    void on_member_changed(const member& record) override;
    void on_process_paused(duration gap) override;

    void read_list();
    void on_list_answer(const platform_answer& answer);
    void update_usable_owner(ordinal index);
    void update_readiness(time_point now);

    const instance_settings& settings_;
    std::uint64_t nonce_;
    instance_counters& counters_;
    std::shared_ptr<engine> engine_;
    std::shared_ptr<peer_service> peers_;
    std::unique_ptr<membership_table> table_;
    platform_client list_client_;
    bool has_list_failed_ = false;
    bool is_reading_list_ = false;
    bool has_read_list_ = false;
    bool is_ready_ = false;
    /** Number of entries in the list when it was last read. */
    std::size_t list_size_ = 0;
    time_point ready_deadline_{};
    time_point next_list_read_{};
    std::vector<bool> usable_owners_;
    std::vector<ordinal> changed_ordinals_;
    std::uint64_t rotation_ = 0;
};

} // namespace turmericlane
