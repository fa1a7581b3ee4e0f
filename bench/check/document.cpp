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
    std::string made;
    std::array<char, 24> buf{};
    for (auto it :
         {query, snapshot, epoch, std::uint64_t{group.service},
          std::uint64_t{group.partition}})
    {
        auto end = std::to_chars(buf.begin(), buf.end(), it).ptr;
        if (!made.empty())
            made += '.';
        made.append(buf.begin(), end);
    }
    return made;
}

std::optional<document> parse_document(std::string_view text)
{
    std::array<std::uint64_t, 5> fields{};
    const auto* from = text.data();
    const auto* end = from + text.size();
    for (std::size_t it = 0; it < fields.size(); ++it)
    {
        if (it > 0 && (from == end || *from++ != '.'))
            return std::nullopt;
        auto [next, ec] = std::from_chars(from, end, fields[it]);
        if (ec != std::errc{})
            return std::nullopt;
        from = next;
    }
    if (from != end)
        return std::nullopt;
    document made{fields[0], fields[1], fields[2], {}};
    made.group.service = static_cast<std::uint32_t>(fields[3]);
    made.group.partition = static_cast<std::uint32_t>(fields[4]);
    return made;
}

std::uint64_t query_number(std::string_view text)
{
    std::uint64_t made = 0;
    auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), made);
    assert(ec == std::errc{} && end == text.data() + text.size());
    return made;
}

} // namespace turmericlane::bench
