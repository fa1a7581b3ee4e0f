#pragma once

#include "keys.h"

#include <turmericlane_core/turmericlane_core.h>

#include <vector>

namespace turmericlane
{

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
