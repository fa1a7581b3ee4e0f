#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace turmericlane
{

/** The order in which peers get heartbeats: each once in a turn, in a new
    random order each turn, so that every peer is contacted in bounded time.

    @see membership_table
*/
class target_order
{
public:
    /** Adds a peer at a random place. */
    void add(std::uint64_t nonce, std::mt19937_64& random);

    /** Removes a peer. */
    void remove(std::uint64_t nonce);

    /** The next peer; there must be one. */
    std::uint64_t next(std::mt19937_64& random);

    /** All peers, in the order of this turn. */
    const std::vector<std::uint64_t>& all() const noexcept
    {
        return order_;
    }

private:
    std::vector<std::uint64_t> order_;
    std::size_t next_ = 0;
};

} // namespace turmericlane
