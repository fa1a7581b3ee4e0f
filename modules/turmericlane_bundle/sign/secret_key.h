#pragma once

#include "keys.h"

#include <turmericlane_core/turmericlane_core.h>

namespace turmericlane
{

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

} // namespace turmericlane
