#include "fake_network.h"

#include <algorithm>

namespace turmericlane::bench
{
namespace
{

constexpr duration inside_data_centre = std::chrono::microseconds(100);

} // namespace

fake_network::fake_network(duration between)
    : between_(between)
{
}

duration
fake_network::delay(std::uint32_t from, std::uint32_t to) const noexcept
{
    return from == to ? inside_data_centre : between_;
}

bool fake_network::reachable(
    std::uint32_t from, std::uint32_t to) const noexcept
{
    return !split_ || from / 2 == to / 2;
}

std::uint64_t
fake_network::generation(std::uint32_t one, std::uint32_t other) const
{
    auto found = generations_.find(std::minmax(one, other));
    return found == generations_.end() ? 0 : found->second;
}

void fake_network::break_connection(std::uint32_t one, std::uint32_t other)
{
    ++generations_[std::minmax(one, other)];
}

void fake_network::set_split(bool split) noexcept
{
    split_ = split;
}

} // namespace turmericlane::bench
