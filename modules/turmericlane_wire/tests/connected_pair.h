#pragma once

#include <turmericlane_wire/turmericlane_wire.h>

#include <doctest/doctest.h>

namespace turmericlane::samples
{

inline shared_key make_key(std::uint8_t fill)
{
    shared_key made;
    made.fill(fill);
    return made;
}

inline session_nonce make_nonce(std::uint8_t fill)
{
    session_nonce made;
    made.fill(fill);
    return made;
}

/** Both ends of a session, without a connection between them. */
struct connected_pair
{
    session_authenticator initiator;
    session_authenticator acceptor;
    frame_encoder to_acceptor{initiator};
    frame_encoder to_initiator{acceptor};
    frame_decoder at_acceptor{acceptor};
    frame_decoder at_initiator{initiator};

    explicit connected_pair(
        shared_key_list initiator_keys = {make_key(1)},
        shared_key_list acceptor_keys = {make_key(1)},
        session_nonce initiator_nonce = make_nonce(3),
        session_nonce acceptor_nonce = make_nonce(4))
        : initiator(
              session_role::initiator,
              std::move(initiator_keys),
              initiator_nonce)
        , acceptor(
              session_role::acceptor, std::move(acceptor_keys), acceptor_nonce)
    {
    }

    /** Exchanges the hellos. Returns false if a side refuses. */
    bool establish()
    {
        std::vector<std::uint8_t> buf;
        to_acceptor.append_frame(frame_type::hello, {}, buf);
        at_acceptor.append(buf);
        buf.clear();
        to_initiator.append_frame(frame_type::hello, {}, buf);
        at_initiator.append(buf);
        return at_acceptor.next() && at_initiator.next() &&
               acceptor.establish(initiator.nonce()) &&
               initiator.establish(acceptor.nonce());
    }

    /** Returns a frame of the initiator with a payload of that size. */
    std::vector<std::uint8_t> frame(std::size_t payload_bytes = 16)
    {
        std::vector<std::uint8_t> payload(payload_bytes, 0x5a);
        std::vector<std::uint8_t> made;
        to_acceptor.append_frame(frame_type::heartbeat, payload, made);
        return made;
    }
};

} // namespace turmericlane::samples
