#include "target_order.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

void target_order::add(std::uint64_t nonce, std::mt19937_64& random)
{
    nonces_.push_back(nonce);
    std::swap(nonces_[random() % nonces_.size()], nonces_.back());
}

void target_order::remove(std::uint64_t nonce)
{
    std::erase(nonces_, nonce);
}

std::uint64_t target_order::take_next(std::mt19937_64& random)
{
    assert(!nonces_.empty());
    if (next_index_ >= nonces_.size())
    {
        std::shuffle(nonces_.begin(), nonces_.end(), random);
        next_index_ = 0;
    }
    return nonces_[next_index_++];
}

} // namespace turmericlane
