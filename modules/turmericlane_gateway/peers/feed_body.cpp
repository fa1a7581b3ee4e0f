#include "feed_body.h"

#include <boost/endian/conversion.hpp>

#include <cstring>

#include <zlib.h>

namespace turmericlane
{

namespace
{

/** The field before the compressed bytes, with the size of the content. */
using size_field = std::uint64_t;

/** Largest content that is accepted, in bytes. */
constexpr size_field max_content_bytes = size_field{64} << 20U;

} // namespace

std::string compress_body(std::string_view payload)
{
    auto compressed_size = compressBound(payload.size());
    std::string body(sizeof(size_field) + compressed_size, '\0');
    auto content_size =
        boost::endian::native_to_little(size_field{payload.size()});
    std::memcpy(body.data(), &content_size, sizeof(content_size));
    auto* const destination =
        reinterpret_cast<Bytef*>(body.data() + sizeof(size_field));
    const auto* const source = reinterpret_cast<const Bytef*>(payload.data());
    if (compress2(
            destination, &compressed_size, source, payload.size(),
            Z_BEST_SPEED) != Z_OK)
        return {};
    body.resize(sizeof(size_field) + compressed_size);
    return body;
}

std::optional<std::vector<std::uint8_t>> decompress_body(std::string_view body)
{
    size_field content_size = 0;
    if (body.size() <= sizeof(content_size))
        return std::nullopt;
    std::memcpy(&content_size, body.data(), sizeof(content_size));
    boost::endian::little_to_native_inplace(content_size);
    if (content_size > max_content_bytes)
        return std::nullopt;
    body.remove_prefix(sizeof(content_size));
    std::vector<std::uint8_t> content(content_size);
    uLongf written_size = content_size;
    const auto* const source = reinterpret_cast<const Bytef*>(body.data());
    const auto status =
        uncompress(content.data(), &written_size, source, body.size());
    if (status != Z_OK || written_size != content_size)
        return std::nullopt;
    return content;
}

} // namespace turmericlane
