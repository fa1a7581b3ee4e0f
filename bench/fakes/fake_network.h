#pragma once

#include "../driver/event_queue.h"

#include <map>

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

    /** Changes when the connection between two instances breaks; what was sent
        before doesn't arrive after. */
    std::uint64_t generation(std::uint32_t one, std::uint32_t other) const;

    /** Breaks the connection between two instances. */
    void break_connection(std::uint32_t one, std::uint32_t other);

    /** Starts or ends the split. */
    void set_split(bool split) noexcept;

private:
    using pair_of_instances = std::pair<std::uint32_t, std::uint32_t>;

    duration between_;
    bool split_ = false;
    std::map<pair_of_instances, std::uint64_t> generations_;
};

} // namespace turmericlane::bench
