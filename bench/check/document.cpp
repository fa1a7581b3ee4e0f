#include "document.h"

#include <array>
#include <cassert>
#include <charconv>

namespace turmericlane::bench
{

std::string make_document(
    std::uint64_t query,
    std::uint64_t snapshot,
    std::uint64_t epoch,
    group_id group)
{
    std::string text;
    std::array<char, 24> buf{};
    for (auto number :
         {query, snapshot, epoch, std::uint64_t{group.service},
          std::uint64_t{group.partition}})
    {
        auto end = std::to_chars(buf.begin(), buf.end(), number).ptr;
        if (!text.empty())
            text += '.';
        text.append(buf.begin(), end);
    }
    return text;
}

std::optional<document> parse_document(std::string_view text)
{
    std::array<std::uint64_t, 5> fields{};
    const auto* position = text.data();
    const auto* end = position + text.size();
    for (std::size_t it = 0; it < fields.size(); ++it)
    {
        if (it > 0 && (position == end || *position++ != '.'))
            return std::nullopt;
        auto [number_end, ec] = std::from_chars(position, end, fields[it]);
        if (ec != std::errc{})
            return std::nullopt;
        position = number_end;
    }
    if (position != end)
        return std::nullopt;
    document result{fields[0], fields[1], fields[2], {}};
    result.group.service = static_cast<std::uint32_t>(fields[3]);
    result.group.partition = static_cast<std::uint32_t>(fields[4]);
    return result;
}

std::uint64_t query_number(std::string_view text)
{
    std::uint64_t number = 0;
    auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    assert(ec == std::errc{} && end == text.data() + text.size());
    return number;
}

} // namespace turmericlane::bench
