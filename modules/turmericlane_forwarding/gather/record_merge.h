#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace turmericlane
{

/** Bytes of a record of a part. */
inline constexpr std::size_t record_bytes = 16;

/** Merges the records of parts.

    @param parts  bodies of whole records in no order; a shorter remainder at
                  the end of one is not a record
    @param count  records wanted
    @returns the greatest records, compared byte by byte, greatest first; equal
             ones all count */
std::string
merge_records(std::span<const std::string_view> parts, std::size_t max_records);

} // namespace turmericlane
