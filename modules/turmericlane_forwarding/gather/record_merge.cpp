#include "record_merge.h"

#include <algorithm>
#include <vector>

namespace turmericlane
{

std::string
merge_records(std::span<const std::string_view> parts, std::size_t max_records)
{
    std::vector<std::string_view> records;
    for (const auto part : parts)
    {
        for (std::size_t offset = 0; offset + record_bytes <= part.size();
             offset += record_bytes)
            records.push_back(part.substr(offset, record_bytes));
    }
    const auto record_count = std::min(max_records, records.size());
    const auto end =
        records.begin() + static_cast<std::ptrdiff_t>(record_count);
    // Comparing string_views of char compares the bytes as unsigned values.
    std::partial_sort(records.begin(), end, records.end(), std::greater<>());
    std::string merged;
    merged.reserve(record_count * record_bytes);
    for (auto it = records.begin(); it != end; ++it)
        merged.append(*it);
    return merged;
}

} // namespace turmericlane
