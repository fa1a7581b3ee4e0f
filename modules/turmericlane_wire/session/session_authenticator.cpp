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

void add(crypto_generichash_state& state, std::span<const std::uint8_t> bytes)
{
    crypto_generichash_update(&state, bytes.data(), bytes.size());
}

void add(crypto_generichash_state& state, std::string_view label)
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
    add(state, header);
    add(state, payload);
    crypto_generichash_final(&state, mac.data(), mac.size());
    return mac;
}

session_role other(session_role role) noexcept
{
    return role == session_role::initiator ? session_role::acceptor
                                           : session_role::initiator;
}

} // namespace

session_authenticator::session_authenticator(
    session_role role, shared_key_list keys, const session_nonce& own)
    : role_(role)
    , keys_(std::move(keys))
    , own_nonce_(own)
    , send_key_{}
{
    assert(!keys_.empty());
    send_key_ = hello_key(keys_.front(), role_);
}

const session_nonce& session_authenticator::nonce() const noexcept
{
    return own_nonce_;
}

bool session_authenticator::establish(const session_nonce& peer)
{
    assert(peer_key_known_ && !established_);
    if (peer == own_nonce_)
        return false;
    send_key_ = session_key(keys_.front(), role_, peer);
    receive_key_ = session_key(keys_[peer_key_index_], other(role_), peer);
    established_ = true;
    return true;
}

bool session_authenticator::established() const noexcept
{
    return established_;
}

frame_mac session_authenticator::sign(
    const frame_header_buffer& header,
    std::span<const std::uint8_t> payload) const
{
    return compute_mac(send_key_, header, payload);
}

bool session_authenticator::check(
    std::span<const std::uint8_t, frame_header_bytes> header,
    std::span<const std::uint8_t> payload,
    std::span<const std::uint8_t, frame_mac_bytes> mac)
{
    if (established_)
    {
        auto expected = compute_mac(receive_key_, header, payload);
        return sodium_memcmp(expected.data(), mac.data(), mac.size()) == 0;
    }
    for (std::size_t n = 0; n < keys_.size(); ++n)
    {
        auto key = hello_key(keys_[n], other(role_));
        auto expected = compute_mac(key, header, payload);
        if (sodium_memcmp(expected.data(), mac.data(), mac.size()) != 0)
            continue;
        peer_key_index_ = n;
        peer_key_known_ = true;
        return true;
    }
    return false;
}

shared_key session_authenticator::hello_key(
    const shared_key& key, session_role sender) const
{
    shared_key derived{};
    const std::uint8_t role[] = {static_cast<std::uint8_t>(sender)};
    crypto_generichash_state state;
    crypto_generichash_init(&state, key.data(), key.size(), derived.size());
    add(state, hello_label);
    add(state, role);
    crypto_generichash_final(&state, derived.data(), derived.size());
    return derived;
}

shared_key session_authenticator::session_key(
    const shared_key& key, session_role sender, const session_nonce& peer) const
{
    const auto& first = role_ == session_role::initiator ? own_nonce_ : peer;
    const auto& second = role_ == session_role::initiator ? peer : own_nonce_;
    shared_key derived{};
    const std::uint8_t role[] = {static_cast<std::uint8_t>(sender)};
    crypto_generichash_state state;
    crypto_generichash_init(&state, key.data(), key.size(), derived.size());
    add(state, session_label);
    add(state, role);
    add(state, first);
    add(state, second);
    crypto_generichash_final(&state, derived.data(), derived.size());
    return derived;
}

} // namespace turmericlane
