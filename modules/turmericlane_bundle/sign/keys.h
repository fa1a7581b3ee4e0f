#pragma once

#include "hex.h"

#include <turmericlane_core/turmericlane_core.h>

#include <vector>

namespace turmericlane
{

/** An ed25519 public key. */
using public_key = std::array<std::uint8_t, 32>;

/** An ed25519 signature. */
using signature_bytes = std::array<std::uint8_t, 64>;

/** Short name of a public key: the first 8 bytes of its BLAKE2b hash. */
using key_id = std::array<std::uint8_t, 8>;

/** BLAKE2b-256 of a canonical text. */
using content_hash = std::array<std::uint8_t, 32>;

/** Short name of a public key. */
key_id id_of(const public_key& of);

/** Hash of a canonical text. */
content_hash hash_of(std::string_view canonical);

/** An ed25519 secret key. It is wiped when it is destroyed, can't be copied
    and has no text form other than write_key_files.

    @see load_secret_key
*/
class secret_key
{
public:
    /** Draws a new key from the system's random source. */
    static secret_key generate();

    /** Reads the seed from 64 hexadecimal digits; surrounding white space is
        ignored. Errors never repeat the text. */
    static result<secret_key> from_hex_seed(std::string_view text);

    secret_key(secret_key&& other) noexcept;
    secret_key& operator=(secret_key&& other) noexcept;
    secret_key(const secret_key&) = delete;
    secret_key& operator=(const secret_key&) = delete;
    ~secret_key();

    /** The public half. */
    public_key to_public() const;

    /** Signs a message. */
    signature_bytes sign(std::string_view message) const;

private:
    friend std::optional<std::string>
    write_key_files(const std::string& path, const secret_key& key);
    secret_key() = default;

    /** Seed and public key, as libsodium keeps them. */
    std::array<std::uint8_t, 64> bytes_{};
};

/** The public keys whose signatures are accepted. During a rotation there are
    several. */
class trusted_keys
{
public:
    /** Accepts no signature until keys are added. */
    trusted_keys() = default;

    /** Reads a list of public keys, each of 64 hexadecimal digits, separated
        by commas or white space. It must hold at least one. */
    static result<trusted_keys> parse(std::string_view list);

    /** Adds a key; a repeated key is ignored. */
    void add(const public_key& added);

    /** True if the named key is trusted and made this signature. */
    bool verify(
        std::string_view message,
        const key_id& signer,
        const signature_bytes& signature) const;

    /** Number of keys. */
    std::size_t size() const noexcept;

private:
    std::vector<public_key> keys_;
};

} // namespace turmericlane
