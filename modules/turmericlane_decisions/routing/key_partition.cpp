#include "key_partition.h"

#include <xxhash.h>

#include <cassert>

namespace turmericlane
{

std::uint32_t partition_of(const service_map& service, std::string_view key)
{
    assert(!service.groups.empty());
    const auto hash = XXH64(key.data(), key.size(), 0);
    return static_cast<std::uint32_t>(hash % service.groups.size());
}

} // namespace turmericlane
