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

/** Removes the text before the first slash, and the slash, from `rest`.
    @returns the text before the slash, or all if there is none */
std::string_view take_segment(std::string_view& rest)
{
    auto end = rest.find('/');
    auto segment = rest.substr(0, end);
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    return segment;
}

template <class T>
bool read_number(std::string_view text, T& value, int base = 10)
{
    const auto* end = text.data() + text.size();
    auto [number_end, ec] = std::from_chars(text.data(), end, value, base);
    return ec == std::errc() && number_end == end && !text.empty();
}

} // namespace

std::uint64_t hash_query(std::string_view query) noexcept
{
    return XXH3_64bits(query.data(), query.size());
}

standin_hit make_hit(
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

std::vector<standin_hit> make_hits(
    std::string_view query,
    std::uint64_t snapshot,
    std::string_view service,
    std::uint32_t partition,
    std::uint32_t limit)
{
    std::vector<standin_hit> hits;
    for (std::uint32_t n = 0; n < std::min(limit, hits_per_group); ++n)
        hits.push_back(make_hit(query, snapshot, service, partition, n));
    std::sort(
        hits.begin(), hits.end(),
        [](const auto& left, const auto& right)
        { return left.score > right.score; });
    return hits;
}

std::optional<hit_origin> parse_hit_id(std::string_view id)
{
    hit_origin origin;
    origin.service = take_segment(id);
    auto partition = take_segment(id);
    auto snapshot = take_segment(id);
    auto hash = take_segment(id);
    if (!snapshot.starts_with('s') || !hash.starts_with('q'))
        return std::nullopt;
    if (!read_number(partition, origin.partition) ||
        !read_number(snapshot.substr(1), origin.snapshot) ||
        !read_number(hash.substr(1), origin.query_hash, 16) ||
        !read_number(id, origin.position))
        return std::nullopt;
    return origin;
}

} // namespace turmericlane::standins
