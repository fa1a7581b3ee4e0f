#pragma once

#include <turmericlane_net/turmericlane_net.h>
#include <turmericlane_wire/turmericlane_wire.h>

namespace turmericlane
{

/** Receives the messages of other instances on the engine's loop. Methods that
    aren't overridden ignore their message.

    @see peer_service
*/
class peer_subscriber
{
public:
    virtual ~peer_subscriber() = default;

    /** An authenticated session was established. */
    virtual void on_peer_connected(const peer_identity&) {}

    /** A session ended; frames that were queued in it may be lost. */
    virtual void on_peer_disconnected(const peer_identity&) {}

    /** A message of any type arrived. Called before the on_message of its
        type. */
    virtual void on_any_message(const message_header&) {}

    virtual void on_message(const message_header&, const search_batch&) {}

    virtual void on_message(const message_header&, const shard_reply_batch&) {}

    virtual void on_message(const message_header&, const cancel_message&) {}

    virtual void
    on_message(const message_header&, const booking_forward_message&)
    {
    }

    virtual void
    on_message(const message_header&, const booking_execute_message&)
    {
    }

    virtual void on_message(const message_header&, const booking_reply_message&)
    {
    }

    virtual void on_message(const message_header&, const membership_message&) {}

    virtual void
    on_message(const message_header&, const bundle_request_message&)
    {
    }

    virtual void on_message(const message_header&, const bundle_delta_message&)
    {
    }

    virtual void on_message(const message_header&, const bundle_full_message&)
    {
    }
};

} // namespace turmericlane
