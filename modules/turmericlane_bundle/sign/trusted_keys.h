#pragma once

#include "keys.h"

#include <turmericlane_core/turmericlane_core.h>

#include <vector>

namespace turmericlane
{

/** The public keys whose signatures are accepted. There are several during a
    key rotation. */
class trusted_keys
{
public:
    /** Makes an empty set, which accepts no signature. */
    trusted_keys() = default;

    /** Reads a list of at least one public key. Keys consist of 64 hexadecimal
        digits and are separated by commas or white space. */
    static result<trusted_keys> parse(std::string_view list);

    /** Adds a key unless it is in the set already. */
    void add(const public_key& key);

    /** True if the signer is a trusted key and made this signature of the
        message. */
    bool verify(
        std::string_view message,
        const key_id& signer,
        const signature_bytes& signature) const;

    /** Returns the number of keys. */
    std::size_t size() const noexcept;

private:
    std::vector<public_key> keys_;
};

} // namespace turmericlane
