#include "fake_network.h"

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

void fake_network::set_split(bool split) noexcept
{
    split_ = split;
}

} // namespace turmericlane::bench
