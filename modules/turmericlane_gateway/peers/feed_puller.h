#pragma once

#include "../http/client_connection.h"

#include <turmericlane_state/turmericlane_state.h>
#include <turmericlane_wire/turmericlane_wire.h>

namespace turmericlane
{

/** Path at which an instance serves its items to peers, with the revision after
    which they are wanted as the parameter `after`. */
inline constexpr std::string_view feed_path = "/feed";

/** Receives the result of a feed_puller. */
class pull_listener
{
public:
    virtual ~pull_listener() = default;

    /** A peer has answered. */
    virtual void pulled(const feed_message& message) = 0;

    /** The peer did not answer in time, or not properly. */
    virtual void pull_failed() = 0;
};

/** Asks a peer for the items that this instance lacks, one pull at a time.

    @see store_follower
*/
class feed_puller final : private client_listener
{
public:
    /** References must outlive the puller. */
    feed_puller(event_context& loop, pull_listener& listener);
    ~feed_puller() override;

    /** Starts a pull; none may be under way. */
    void pull(const endpoint& peer, std::uint64_t after);

private:
    void fail();
    void drop();

    void on_open(client_connection& from) override;
    void
    on_response(client_connection& from, server_response&& response) override;
    void on_end(client_connection& from, connection_end why) override;

    event_context& loop_;
    pull_listener& listener_;
    loop_timer timer_;
    std::shared_ptr<client_connection> connection_;
    std::string text_;
};

} // namespace turmericlane
