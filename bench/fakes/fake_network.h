#pragma once

#include "../driver/event_queue.h"

#include <map>

namespace turmericlane::bench
{

/** Simulates a network with a fixed delay per hop that can be split between
    two halves of the data centres.

    A message across the split is lost without an error.
*/
class fake_network
{
public:
    /** @param data_centre_delay  one-way delay between two data centres */
    explicit fake_network(duration data_centre_delay);

    /** Returns the one-way delay between two data centres or inside one. */
    duration
    delay(std::uint32_t source, std::uint32_t destination) const noexcept;

    /** True unless a split separates the two data centres. */
    bool is_reachable(
        std::uint32_t source, std::uint32_t destination) const noexcept;

    /** Returns a number that changes when the connection between two instances
        breaks. Messages that were sent before don't arrive afterwards. */
    std::uint64_t generation(std::uint32_t first, std::uint32_t second) const;

    void break_connection(std::uint32_t first, std::uint32_t second);

    /** Starts or ends the split of the network. */
    void set_split(bool is_split) noexcept;

private:
    using instance_pair = std::pair<std::uint32_t, std::uint32_t>;

    duration data_centre_delay_;
    bool is_split_ = false;
    std::map<instance_pair, std::uint64_t> generations_;
};

} // namespace turmericlane::bench
