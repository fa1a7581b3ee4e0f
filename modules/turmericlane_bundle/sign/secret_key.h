#pragma once

#include "keys.h"

#include <turmericlane_core/turmericlane_core.h>

namespace turmericlane
{

/** An ed25519 secret key. Its memory is zeroed on destruction, it can't be
    copied, and only write_key_files writes it as text.

    @see load_secret_key
*/
class secret_key
{
public:
    /** Generates a key from the system's random source. */
    static secret_key generate();

    /** Makes a key from a seed of 64 hexadecimal digits. Ignores surrounding
        white space. Errors never contain the text. */
    static result<secret_key> from_hex_seed(std::string_view text);

    secret_key(secret_key&& other) noexcept;
    secret_key& operator=(secret_key&& other) noexcept;
    secret_key(const secret_key&) = delete;
    secret_key& operator=(const secret_key&) = delete;
    ~secret_key();

    /** Returns the public key. */
    public_key to_public_key() const;

    /** Returns the signature of a message. */
    signature_bytes sign(std::string_view message) const;

private:
    friend std::optional<std::string>
    write_key_files(const std::string& path, const secret_key& key);
    secret_key() = default;

    /** Seed and public key, in the layout of libsodium. */
    std::array<std::uint8_t, 64> bytes_{};
};

} // namespace turmericlane
