#include "fake_network.h"

#include <algorithm>

namespace turmericlane::bench
{
namespace
{

constexpr duration local_delay = std::chrono::microseconds(100);

} // namespace

fake_network::fake_network(duration data_centre_delay)
    : data_centre_delay_(data_centre_delay)
{
}

duration fake_network::delay(
    std::uint32_t source, std::uint32_t destination) const noexcept
{
    return source == destination ? local_delay : data_centre_delay_;
}

bool fake_network::is_reachable(
    std::uint32_t source, std::uint32_t destination) const noexcept
{
    return !is_split_ || source / 2 == destination / 2;
}

std::uint64_t
fake_network::generation(std::uint32_t first, std::uint32_t second) const
{
    auto found = generations_.find(std::minmax(first, second));
    return found == generations_.end() ? 0 : found->second;
}

void fake_network::break_connection(std::uint32_t first, std::uint32_t second)
{
    ++generations_[std::minmax(first, second)];
}

void fake_network::set_split(bool is_split) noexcept
{
    is_split_ = is_split;
}

} // namespace turmericlane::bench
