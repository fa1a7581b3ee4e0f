#pragma once

#include "../http/client_connection.h"

#include <turmericlane_state/turmericlane_state.h>
#include <turmericlane_wire/turmericlane_wire.h>

namespace turmericlane
{

/** Path at which an instance serves items of the store to its peers. The query
    parameter `after` is the revision after which items are requested, and `era`
    is its era: the numbers of a store_era, separated by a point. Builds without
    eras send no `era` and ignore it. */
inline constexpr std::string_view feed_path = "/feed";

/** Returns an era as the query parameter `era`. */
std::string to_parameter(const store_era& era);

/** Parses the query parameter `era`.
    @returns nothing if it is not two whole numbers separated by a point, or one
             of them is too large */
std::optional<store_era> parse_era_parameter(std::string_view text);

/** Receives the result of a feed_puller. */
class pull_listener
{
public:
    virtual ~pull_listener() = default;

    /** The peer has answered. */
    virtual void pull_succeeded(const feed_message& message) = 0;

    /** The peer did not answer in time, or its answer is not valid. */
    virtual void pull_failed() = 0;
};

/** Requests the items that this instance lacks from a peer, one pull at a time.

    @see store_follower
*/
class feed_puller final : private client_listener
{
public:
    /** Both references must outlive the puller. */
    feed_puller(event_context& loop, pull_listener& listener);
    ~feed_puller() override;

    /** Starts a pull; no other may be in progress.
        @param held  position after which items are requested */
    void pull(const endpoint& peer, const store_position& held);

private:
    void fail();
    void close_connection();

    void on_open(client_connection& connection) override;
    void on_response(
        client_connection& connection, server_response&& response) override;
    void on_end(client_connection& connection, connection_end reason) override;

    event_context& loop_;
    pull_listener& listener_;
    loop_timer timer_;
    std::shared_ptr<client_connection> connection_;
    std::string request_text_;
};

} // namespace turmericlane
