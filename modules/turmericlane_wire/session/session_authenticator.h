#pragma once

#include "../frame/frame_header.h"
#include "session_keys.h"

#include <cstdint>
#include <span>

namespace turmericlane
{

/** Which side of a connection this is. */
enum class session_role : std::uint8_t
{
    initiator,
    acceptor
};

/** Code that authenticates a frame. */
using frame_mac = std::array<std::uint8_t, frame_mac_bytes>;

/** Signs and checks the frames of one connection.

    Hellos are signed with a key derived from the first shared key and the role,
    so that a peer cannot be shown its own hello. Once both session nonces are
    known, each direction has its own key, derived by keyed BLAKE2b from the
    shared key that its sender used, both nonces and the role. A recorded hello
    is authentic, but its sender cannot sign anything that follows; a peer is
    therefore trusted only after its first frame under the session key.

    Signing and checking may run in two threads at the same time once the
    session is established; before that one thread uses it.

    @see frame_encoder, frame_decoder
*/
class session_authenticator
{
public:
    /** @param keys  at least one
        @param own   nonce that was drawn for this connection */
    session_authenticator(
        session_role role, shared_key_list keys, const session_nonce& own);

    /** The nonce to send in this side's hello. */
    const session_nonce& nonce() const noexcept;

    /** Derives the session keys. A frame of the peer must have passed check
        already, because it decides which shared key the peer uses.
        @returns false if the peer's nonce is this side's own */
    bool establish(const session_nonce& peer);

    /** True after establish. */
    bool established() const noexcept;

    /** Returns the code for a frame of this side. */
    frame_mac sign(
        const frame_header_buffer& header,
        std::span<const std::uint8_t> payload) const;

    /** True if the peer signed the frame. */
    bool check(
        std::span<const std::uint8_t, frame_header_bytes> header,
        std::span<const std::uint8_t> payload,
        std::span<const std::uint8_t, frame_mac_bytes> mac);

private:
    shared_key hello_key(const shared_key& key, session_role sender) const;
    shared_key session_key(
        const shared_key& key,
        session_role sender,
        const session_nonce& peer) const;

    session_role role_;
    shared_key_list keys_;
    session_nonce own_nonce_;
    shared_key send_key_;
    shared_key receive_key_{};
    std::size_t peer_key_index_ = 0;
    bool peer_key_known_ = false;
    bool established_ = false;
};

} // namespace turmericlane
