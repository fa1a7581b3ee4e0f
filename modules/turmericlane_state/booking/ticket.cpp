#include "ticket.h"

#include <charconv>
#include <sodium.h>

namespace turmericlane
{

namespace
{

constexpr std::size_t field_count = 6;
constexpr std::size_t longest_text_bytes = 256;

std::string to_hex(std::uint64_t value)
{
    char buf[17];
    auto end = std::to_chars(buf, buf + sizeof buf, value, 16).ptr;
    return {buf, end};
}

bool parse_hex(std::string_view text, std::uint64_t& value)
{
    auto end = text.data() + text.size();
    auto [stopped, ec] = std::from_chars(text.data(), end, value, 16);
    return ec == std::errc() && stopped == end;
}

std::string code_to_hex(const std::array<unsigned char, 32>& code)
{
    char buf[65];
    sodium_bin2hex(buf, sizeof buf, code.data(), code.size());
    return buf;
}

bool split(
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
           to_hex(expiry) + '/' + code_to_hex(value.code);
}

std::optional<ticket> parse_ticket(std::string_view text)
{
    std::array<std::string_view, field_count> fields;
    if (text.size() > longest_text_bytes || !split(text, fields))
        return std::nullopt;
    ticket made;
    std::uint64_t issuer = 0;
    std::uint64_t expiry = 0;
    bool numbers = parse_hex(fields[1], issuer) &&
                   parse_hex(fields[2], made.issuer_nonce) &&
                   parse_hex(fields[3], made.serial) &&
                   parse_hex(fields[4], expiry);
    // The bound on expiry keeps the sum with the start time in range.
    if (!numbers || issuer > UINT32_MAX || expiry > UINT32_MAX * 1000ULL)
        return std::nullopt;
    made.issuer_address = fields[0];
    made.issuer = static_cast<ordinal>(issuer);
    made.expiry = std::chrono::milliseconds(expiry);
    std::size_t n = 0;
    const char* end = nullptr;
    int failed = sodium_hex2bin(
        made.code.data(), made.code.size(), fields[5].data(), fields[5].size(),
        nullptr, &n, &end);
    if (failed != 0 || n != made.code.size() ||
        end != fields[5].data() + fields[5].size())
        return std::nullopt;
    return made;
}

} // namespace turmericlane
