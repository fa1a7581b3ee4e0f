#include "hex.h"

#include <sodium.h>

namespace turmericlane
{

std::string to_hex(std::span<const std::uint8_t> bytes)
{
    std::string text(bytes.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

bool from_hex(std::string_view text, std::span<std::uint8_t> bytes)
{
    if (text.size() != bytes.size() * 2)
        return false;
    std::size_t byte_count = 0;
    auto status = sodium_hex2bin(
        bytes.data(), bytes.size(), text.data(), text.size(), nullptr,
        &byte_count, nullptr);
    return status == 0 && byte_count == bytes.size();
}

} // namespace turmericlane
