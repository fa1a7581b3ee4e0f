#include "trusted_keys.h"

#include "sodium_support.h"

#include <algorithm>
#include <sodium.h>

namespace turmericlane
{

result<trusted_keys> trusted_keys::parse(std::string_view list)
{
    using keys_result = result<trusted_keys>;
    constexpr std::string_view separators = ", \t\r\n";
    trusted_keys keys;
    std::size_t position = 0;
    while ((position = list.find_first_not_of(separators, position)) !=
           std::string_view::npos)
    {
        auto end =
            std::min(list.find_first_of(separators, position), list.size());
        auto key = parse_hex<32>(list.substr(position, end - position));
        if (!key)
            return keys_result::failure(
                "key " + std::to_string(keys.size() + 1) +
                " is not a public key; expected 64 hexadecimal digits");
        keys.add(*key);
        position = end;
    }
    if (keys.size() == 0)
        return keys_result::failure("no public key; at least one is needed");
    return keys;
}

void trusted_keys::add(const public_key& key)
{
    if (std::find(keys_.begin(), keys_.end(), key) == keys_.end())
        keys_.push_back(key);
}

bool trusted_keys::verify(
    std::string_view message,
    const key_id& signer,
    const signature_bytes& signature) const
{
    initialise_sodium();
    auto is_signer = [&](const public_key& key)
    {
        return key_id_of(key) == signer &&
               crypto_sign_verify_detached(
                   signature.data(), bytes_of(message), message.size(),
                   key.data()) == 0;
    };
    return std::any_of(keys_.begin(), keys_.end(), is_signer);
}

std::size_t trusted_keys::size() const noexcept
{
    return keys_.size();
}

} // namespace turmericlane
