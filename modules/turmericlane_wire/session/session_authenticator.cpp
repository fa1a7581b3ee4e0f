#include "session_authenticator.h"

#include <sodium.h>

#include <cassert>
#include <string_view>

namespace turmericlane
{

namespace
{

constexpr std::string_view hello_label = "turmericlane hello 1";
constexpr std::string_view session_label = "turmericlane session 1";

void update_hash(
    crypto_generichash_state& state, std::span<const std::uint8_t> bytes)
{
    crypto_generichash_update(&state, bytes.data(), bytes.size());
}

void update_hash(crypto_generichash_state& state, std::string_view label)
{
    crypto_generichash_update(
        &state, reinterpret_cast<const unsigned char*>(label.data()),
        label.size());
}

frame_mac compute_mac(
    const shared_key& key,
    std::span<const std::uint8_t, frame_header_bytes> header,
    std::span<const std::uint8_t> payload)
{
    frame_mac mac{};
    crypto_generichash_state state;
    crypto_generichash_init(&state, key.data(), key.size(), mac.size());
    update_hash(state, header);
    update_hash(state, payload);
    crypto_generichash_final(&state, mac.data(), mac.size());
    return mac;
}

session_role opposite_role(session_role role) noexcept
{
    return role == session_role::initiator ? session_role::acceptor
                                           : session_role::initiator;
}

} // namespace

session_authenticator::session_authenticator(
    session_role role, shared_key_list keys, const session_nonce& own_nonce)
    : role_(role)
    , keys_(std::move(keys))
    , own_nonce_(own_nonce)
    , send_key_{}
{
    assert(!keys_.empty());
    send_key_ = derive_hello_key(keys_.front(), role_);
}

const session_nonce& session_authenticator::nonce() const noexcept
{
    return own_nonce_;
}

bool session_authenticator::establish(const session_nonce& peer_nonce)
{
    assert(is_peer_key_known_ && !is_established_);
    if (peer_nonce == own_nonce_)
        return false;
    send_key_ = derive_session_key(keys_.front(), role_, peer_nonce);
    receive_key_ = derive_session_key(
        keys_[peer_key_index_], opposite_role(role_), peer_nonce);
    is_established_ = true;
    return true;
}

bool session_authenticator::is_established() const noexcept
{
    return is_established_;
}

frame_mac session_authenticator::sign(
    const frame_header_buffer& header,
    std::span<const std::uint8_t> payload) const
{
    return compute_mac(send_key_, header, payload);
}

bool session_authenticator::verify(
    std::span<const std::uint8_t, frame_header_bytes> header,
    std::span<const std::uint8_t> payload,
    std::span<const std::uint8_t, frame_mac_bytes> mac)
{
    if (is_established_)
    {
        auto expected = compute_mac(receive_key_, header, payload);
        return sodium_memcmp(expected.data(), mac.data(), mac.size()) == 0;
    }
    for (std::size_t n = 0; n < keys_.size(); ++n)
    {
        auto key = derive_hello_key(keys_[n], opposite_role(role_));
        auto expected = compute_mac(key, header, payload);
        if (sodium_memcmp(expected.data(), mac.data(), mac.size()) != 0)
            continue;
        peer_key_index_ = n;
        is_peer_key_known_ = true;
        return true;
    }
    return false;
}

shared_key session_authenticator::derive_hello_key(
    const shared_key& key, session_role sender) const
{
    shared_key derived_key{};
    const std::uint8_t role_bytes[] = {static_cast<std::uint8_t>(sender)};
    crypto_generichash_state state;
    crypto_generichash_init(&state, key.data(), key.size(), derived_key.size());
    update_hash(state, hello_label);
    update_hash(state, role_bytes);
    crypto_generichash_final(&state, derived_key.data(), derived_key.size());
    return derived_key;
}

shared_key session_authenticator::derive_session_key(
    const shared_key& key,
    session_role sender,
    const session_nonce& peer_nonce) const
{
    const auto& initiator_nonce =
        role_ == session_role::initiator ? own_nonce_ : peer_nonce;
    const auto& acceptor_nonce =
        role_ == session_role::initiator ? peer_nonce : own_nonce_;
    shared_key derived_key{};
    const std::uint8_t role_bytes[] = {static_cast<std::uint8_t>(sender)};
    crypto_generichash_state state;
    crypto_generichash_init(&state, key.data(), key.size(), derived_key.size());
    update_hash(state, session_label);
    update_hash(state, role_bytes);
    update_hash(state, initiator_nonce);
    update_hash(state, acceptor_nonce);
    crypto_generichash_final(&state, derived_key.data(), derived_key.size());
    return derived_key;
}

} // namespace turmericlane
