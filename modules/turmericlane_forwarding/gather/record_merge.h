#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace turmericlane
{

/** Size of a record in bytes. */
inline constexpr std::size_t record_bytes = 16;

/** Merges the records of the answers of several shards.

    @param parts        bodies of records in any order; an incomplete record at
                        the end of a body is ignored
    @param max_records  records to return, at most
    @returns the greatest records, compared as unsigned bytes, greatest first;
             duplicates are kept */
std::string
merge_records(std::span<const std::string_view> parts, std::size_t max_records);

} // namespace turmericlane
