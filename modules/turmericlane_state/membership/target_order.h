#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace turmericlane
{

/** The order in which peers get heartbeats. Each pass over the peers has a new
    random order and contacts each peer once, so that every peer is contacted in
    bounded time.

    @see membership_table
*/
class target_order
{
public:
    /** Adds a peer at a random position. */
    void add(std::uint64_t nonce, std::mt19937_64& random);

    void remove(std::uint64_t nonce);

    /** Returns the next peer to contact; there must be one. */
    std::uint64_t take_next(std::mt19937_64& random);

    /** Returns the nonces of all peers in the order of this pass. */
    const std::vector<std::uint64_t>& nonces() const noexcept
    {
        return nonces_;
    }

private:
    std::vector<std::uint64_t> nonces_;
    std::size_t next_index_ = 0;
};

} // namespace turmericlane
