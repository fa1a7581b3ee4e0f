#pragma once

#include "../frame/frame_header.h"
#include "session_keys.h"

#include <cstdint>
#include <span>

namespace turmericlane
{

/** Side of a connection. */
enum class session_role : std::uint8_t
{
    initiator,
    acceptor
};

/** Message authentication code (MAC) of a frame. */
using frame_mac = std::array<std::uint8_t, frame_mac_bytes>;

/** Signs and verifies the frames of one connection.

    A hello is signed with a key that is derived from the first shared key and
    the role of the sender, so that a peer refuses its own hello if it is sent
    back. Once both session nonces are known, each direction has its own key,
    derived by keyed BLAKE2b from the shared key of its sender, both nonces and
    the role of the sender. A recorded hello that is replayed passes verify, but
    its sender can't sign the frames that follow; a peer is therefore trusted
    only after its first frame that is signed with the session key.

    Once the session is established, one thread may sign while another verifies;
    before that only one thread may use it.

    @see frame_encoder, frame_decoder
*/
class session_authenticator
{
public:
    /** @param keys  shared keys, at least one
        @param own_nonce  nonce that this side drew for this connection */
    session_authenticator(
        session_role role,
        shared_key_list keys,
        const session_nonce& own_nonce);

    /** Returns the nonce that this side sends in its hello. */
    const session_nonce& nonce() const noexcept;

    /** Derives the session keys. A frame of the peer must have passed verify
        before, because that frame shows which shared key the peer uses.
        @returns false if the nonce of the peer equals that of this side */
    bool establish(const session_nonce& peer_nonce);

    /** True once establish has succeeded. */
    bool is_established() const noexcept;

    /** Returns the MAC of a frame that this side sends. */
    frame_mac sign(
        const frame_header_buffer& header,
        std::span<const std::uint8_t> payload) const;

    /** True if the MAC shows that the peer has signed the frame. */
    bool verify(
        std::span<const std::uint8_t, frame_header_bytes> header,
        std::span<const std::uint8_t> payload,
        std::span<const std::uint8_t, frame_mac_bytes> mac);

private:
    shared_key
    derive_hello_key(const shared_key& key, session_role sender) const;
    shared_key derive_session_key(
        const shared_key& key,
        session_role sender,
        const session_nonce& peer_nonce) const;

    session_role role_;
    shared_key_list keys_;
    session_nonce own_nonce_;
    shared_key send_key_;
    shared_key receive_key_{};
    std::size_t peer_key_index_ = 0;
    bool is_peer_key_known_ = false;
    bool is_established_ = false;
};

} // namespace turmericlane
