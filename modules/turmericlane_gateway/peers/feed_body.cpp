#include "feed_body.h"

#include <boost/endian/conversion.hpp>

#include <cstring>

#include <zlib.h>

namespace turmericlane
{

namespace
{

/** The size of the content, before the compressed bytes. */
using size_field = std::uint64_t;

/** Largest content that is accepted, in bytes. */
constexpr size_field max_content_bytes = size_field{64} << 20U;

} // namespace

std::string compress_body(std::string_view payload)
{
    auto bound = compressBound(payload.size());
    std::string made(sizeof(size_field) + bound, '\0');
    auto size = boost::endian::native_to_little(size_field{payload.size()});
    std::memcpy(made.data(), &size, sizeof(size));
    auto* const to = reinterpret_cast<Bytef*>(made.data() + sizeof(size_field));
    const auto* const from = reinterpret_cast<const Bytef*>(payload.data());
    if (compress2(to, &bound, from, payload.size(), Z_BEST_SPEED) != Z_OK)
        return {};
    made.resize(sizeof(size_field) + bound);
    return made;
}

std::optional<std::vector<std::uint8_t>> decompress_body(std::string_view body)
{
    size_field size = 0;
    if (body.size() <= sizeof(size))
        return std::nullopt;
    std::memcpy(&size, body.data(), sizeof(size));
    boost::endian::little_to_native_inplace(size);
    if (size > max_content_bytes)
        return std::nullopt;
    body.remove_prefix(sizeof(size));
    std::vector<std::uint8_t> made(size);
    uLongf written = size;
    const auto* const from = reinterpret_cast<const Bytef*>(body.data());
    const auto failed = uncompress(made.data(), &written, from, body.size());
    if (failed != Z_OK || written != size)
        return std::nullopt;
    return made;
}

} // namespace turmericlane
