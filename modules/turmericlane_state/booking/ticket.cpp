#include "ticket.h"

#include <charconv>
#include <sodium.h>

namespace turmericlane
{

namespace
{

constexpr std::size_t field_count = 6;
constexpr std::size_t max_text_bytes = 256;

std::string to_hex(std::uint64_t value)
{
    char buf[17];
    auto end = std::to_chars(buf, buf + sizeof buf, value, 16).ptr;
    return {buf, end};
}

bool parse_hex(std::string_view text, std::uint64_t& value)
{
    auto end = text.data() + text.size();
    auto [parse_end, ec] = std::from_chars(text.data(), end, value, 16);
    return ec == std::errc() && parse_end == end;
}

std::string
code_to_hex(const std::array<unsigned char, 32>& authentication_code)
{
    char buf[65];
    sodium_bin2hex(
        buf, sizeof buf, authentication_code.data(),
        authentication_code.size());
    return buf;
}

bool split_fields(
    std::string_view text, std::array<std::string_view, field_count>& fields)
{
    for (std::size_t n = 0; n + 1 < field_count; ++n)
    {
        auto end = text.find('/');
        if (end == std::string_view::npos)
            return false;
        fields[n] = text.substr(0, end);
        text.remove_prefix(end + 1);
    }
    fields[field_count - 1] = text;
    return true;
}

} // namespace

std::string to_text(const ticket& value)
{
    auto expiry = static_cast<std::uint64_t>(value.expiry.count());
    return value.issuer_address + '/' + to_hex(value.issuer) + '/' +
           to_hex(value.issuer_nonce) + '/' + to_hex(value.serial) + '/' +
           to_hex(expiry) + '/' + code_to_hex(value.authentication_code);
}

std::optional<ticket> parse_ticket(std::string_view text)
{
    std::array<std::string_view, field_count> fields;
    if (text.size() > max_text_bytes || !split_fields(text, fields))
        return std::nullopt;
    ticket parsed_ticket;
    std::uint64_t issuer = 0;
    std::uint64_t expiry = 0;
    bool are_numbers_valid = parse_hex(fields[1], issuer) &&
                             parse_hex(fields[2], parsed_ticket.issuer_nonce) &&
                             parse_hex(fields[3], parsed_ticket.serial) &&
                             parse_hex(fields[4], expiry);
    // The bound on the expiry prevents an overflow when the start time is
    // added to it.
    if (!are_numbers_valid || issuer > UINT32_MAX ||
        expiry > UINT32_MAX * 1000ULL)
        return std::nullopt;
    parsed_ticket.issuer_address = fields[0];
    parsed_ticket.issuer = static_cast<ordinal>(issuer);
    parsed_ticket.expiry = std::chrono::milliseconds(expiry);
    std::size_t code_size = 0;
    const char* code_end = nullptr;
    int decode_error = sodium_hex2bin(
        parsed_ticket.authentication_code.data(),
        parsed_ticket.authentication_code.size(), fields[5].data(),
        fields[5].size(), nullptr, &code_size, &code_end);
    if (decode_error != 0 ||
        code_size != parsed_ticket.authentication_code.size() ||
        code_end != fields[5].data() + fields[5].size())
        return std::nullopt;
    return parsed_ticket;
}

} // namespace turmericlane
