#pragma once

#include "../driver/event_queue.h"

namespace turmericlane::bench
{

/** Fixed delay for each hop, and a split of the data centres into two halves.

    A message across the split is lost without notice.
*/
class fake_network
{
public:
    /** @param between  one-way delay between two data centres */
    explicit fake_network(duration between);

    /** One-way delay between two data centres or inside one. */
    duration delay(std::uint32_t from, std::uint32_t to) const noexcept;

    /** False while a split separates the two. */
    bool reachable(std::uint32_t from, std::uint32_t to) const noexcept;

    /** Starts or ends the split. */
    void set_split(bool split) noexcept;

private:
    duration between_;
    bool split_ = false;
};

} // namespace turmericlane::bench
