#include "record_merge.h"

#include <algorithm>
#include <vector>

namespace turmericlane
{

std::string
merge_records(std::span<const std::string_view> parts, std::size_t count)
{
    std::vector<std::string_view> records;
    for (const auto part : parts)
    {
        for (std::size_t at = 0; at + record_bytes <= part.size();
             at += record_bytes)
            records.push_back(part.substr(at, record_bytes));
    }
    const auto wanted = std::min(count, records.size());
    const auto end = records.begin() + static_cast<std::ptrdiff_t>(wanted);
    // Comparing string_views of char compares the bytes as unsigned values.
    std::partial_sort(records.begin(), end, records.end(), std::greater<>());
    std::string merged;
    merged.reserve(wanted * record_bytes);
    for (auto it = records.begin(); it != end; ++it)
        merged.append(*it);
    return merged;
}

} // namespace turmericlane
