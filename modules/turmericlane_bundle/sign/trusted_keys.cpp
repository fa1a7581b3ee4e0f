#include "trusted_keys.h"

#include "sodium_support.h"

#include <algorithm>
#include <sodium.h>

namespace turmericlane
{

result<trusted_keys> trusted_keys::parse(std::string_view list)
{
    using made = result<trusted_keys>;
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
            return made::failure(
                "key " + std::to_string(keys.size() + 1) +
                " is not a public key; expected 64 hexadecimal digits");
        keys.add(*key);
        position = end;
    }
    if (keys.size() == 0)
        return made::failure("no public key; at least one is needed");
    return keys;
}

void trusted_keys::add(const public_key& added)
{
    if (std::find(keys_.begin(), keys_.end(), added) == keys_.end())
        keys_.push_back(added);
}

bool trusted_keys::verify(
    std::string_view message,
    const key_id& signer,
    const signature_bytes& signature) const
{
    require_sodium();
    auto matches = [&](const public_key& key)
    {
        return id_of(key) == signer && crypto_sign_verify_detached(
                                           signature.data(), bytes_of(message),
                                           message.size(), key.data()) == 0;
    };
    return std::any_of(keys_.begin(), keys_.end(), matches);
}

std::size_t trusted_keys::size() const noexcept
{
    return keys_.size();
}

} // namespace turmericlane
