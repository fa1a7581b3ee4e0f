#include "response_memory.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

response_memory::response_memory(std::size_t max_bytes)
    : max_bytes_(max_bytes)
{
    assert(max_bytes > 0);
}

void response_memory::set(response_holder& holder, std::size_t bytes)
{
    auto& held_bytes = bytes_by_holder_[&holder];
    total_bytes_ += bytes;
    total_bytes_ -= held_bytes;
    held_bytes = bytes;
    while (total_bytes_ > max_bytes_)
        give_up_largest();
}

void response_memory::release(response_holder& holder)
{
    const auto match = bytes_by_holder_.find(&holder);
    if (match == bytes_by_holder_.end())
        return;
    total_bytes_ -= match->second;
    bytes_by_holder_.erase(match);
}

void response_memory::give_up_largest()
{
    const auto largest = std::max_element(
        bytes_by_holder_.begin(), bytes_by_holder_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    auto* const holder = largest->first;
    ++given_up_count_;
    // Released here as well, so that the loop ends whatever the holder does.
    release(*holder);
    holder->give_up_response();
}

} // namespace turmericlane
