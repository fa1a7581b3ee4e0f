#include "hits.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <cstdio>

#include <xxhash.h>

namespace turmericlane::standins
{

namespace
{

/** Removes the text before the next slash from the front of rest. */
std::string_view take_part(std::string_view& rest)
{
    auto end = rest.find('/');
    auto part = rest.substr(0, end);
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    return part;
}

template <class T>
bool read_number(std::string_view text, T& value, int base = 10)
{
    const auto* end = text.data() + text.size();
    auto [stop, ec] = std::from_chars(text.data(), end, value, base);
    return ec == std::errc() && stop == end && !text.empty();
}

} // namespace

std::uint64_t hash_query(std::string_view query) noexcept
{
    return XXH3_64bits(query.data(), query.size());
}

made_hit make_hit(
    std::string_view query,
    std::uint64_t snapshot,
    std::string_view service,
    std::uint32_t partition,
    std::uint32_t position)
{
    assert(!service.empty());
    char hash[17];
    std::snprintf(
        hash, sizeof hash, "%016llx",
        static_cast<unsigned long long>(hash_query(query)));
    auto id = std::string(service) + '/' + std::to_string(partition) + "/s" +
              std::to_string(snapshot) + "/q" + hash + '/' +
              std::to_string(position);
    auto bits = XXH3_64bits(id.data(), id.size()) >> 11U;
    return {std::move(id), static_cast<double>(bits) * 0x1p-53};
}

std::vector<made_hit> make_hits(
    std::string_view query,
    std::uint64_t snapshot,
    std::string_view service,
    std::uint32_t partition,
    std::uint32_t limit)
{
    std::vector<made_hit> made;
    for (std::uint32_t n = 0; n < std::min(limit, hits_per_group); ++n)
        made.push_back(make_hit(query, snapshot, service, partition, n));
    std::sort(
        made.begin(), made.end(),
        [](const auto& one, const auto& other)
        { return one.score > other.score; });
    return made;
}

std::optional<hit_origin> parse_hit_id(std::string_view id)
{
    hit_origin made;
    made.service = take_part(id);
    auto partition = take_part(id);
    auto snapshot = take_part(id);
    auto hash = take_part(id);
    if (!snapshot.starts_with('s') || !hash.starts_with('q'))
        return std::nullopt;
    if (!read_number(partition, made.partition) ||
        !read_number(snapshot.substr(1), made.snapshot) ||
        !read_number(hash.substr(1), made.query_hash, 16) ||
        !read_number(id, made.position))
        return std::nullopt;
    return made;
}

} // namespace turmericlane::standins
