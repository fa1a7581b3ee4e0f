#pragma once

#include <turmericlane_wire/turmericlane_wire.h>

#include <doctest/doctest.h>

namespace turmericlane::samples
{

inline shared_key make_key(std::uint8_t byte)
{
    shared_key result;
    result.fill(byte);
    return result;
}

inline session_nonce make_nonce(std::uint8_t byte)
{
    session_nonce result;
    result.fill(byte);
    return result;
}

/** Both sides of a session, without a connection between them. */
struct session_pair
{
    session_authenticator initiator;
    session_authenticator acceptor;
    frame_encoder initiator_encoder{initiator};
    frame_encoder acceptor_encoder{acceptor};
    frame_decoder acceptor_decoder{acceptor};
    frame_decoder initiator_decoder{initiator};

    explicit session_pair(
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

    /** Exchanges the hellos. Returns false if a side refuses the other's. */
    bool establish()
    {
        std::vector<std::uint8_t> bytes;
        initiator_encoder.append_frame(frame_type::hello, {}, bytes);
        acceptor_decoder.append(bytes);
        bytes.clear();
        acceptor_encoder.append_frame(frame_type::hello, {}, bytes);
        initiator_decoder.append(bytes);
        return acceptor_decoder.next() && initiator_decoder.next() &&
               acceptor.establish(initiator.nonce()) &&
               initiator.establish(acceptor.nonce());
    }

    /** Returns a frame of the initiator with a payload of that size. */
    std::vector<std::uint8_t> make_frame(std::size_t payload_bytes = 16)
    {
        std::vector<std::uint8_t> payload(payload_bytes, 0x5a);
        std::vector<std::uint8_t> result;
        initiator_encoder.append_frame(frame_type::heartbeat, payload, result);
        return result;
    }
};

} // namespace turmericlane::samples
