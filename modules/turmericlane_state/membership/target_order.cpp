#include "target_order.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

void target_order::add(std::uint64_t nonce, std::mt19937_64& random)
{
    order_.push_back(nonce);
    std::swap(order_[random() % order_.size()], order_.back());
}

void target_order::remove(std::uint64_t nonce)
{
    std::erase(order_, nonce);
}

std::uint64_t target_order::next(std::mt19937_64& random)
{
    assert(!order_.empty());
    if (next_ >= order_.size())
    {
        std::shuffle(order_.begin(), order_.end(), random);
        next_ = 0;
    }
    return order_[next_++];
}

} // namespace turmericlane
