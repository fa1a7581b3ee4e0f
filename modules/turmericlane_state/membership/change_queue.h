#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace turmericlane
{

/** Changes that wait to be carried by heartbeats. The one that was carried
    least often goes first; each goes a bounded number of times.

    @see membership_table
*/
template <class Key>
class change_queue
{
public:
    /** Queues a change anew, also if it was carried before. */
    void add(const Key& key)
    {
        remove(key);
        carried_[key] = 0;
        order_.insert({0, key});
    }

    /** Forgets a change. */
    void remove(const Key& key)
    {
        auto it = carried_.find(key);
        if (it == carried_.end())
            return;
        order_.erase({it->second, key});
        carried_.erase(it);
    }

    /** Takes changes for one message.
        @param budget_bytes  reduced by what is taken
        @param times         how often a change is carried at most
        @param size_of       size of a change in bytes; 0 for one that is
                             outdated and is to be forgotten */
    template <class Size>
    std::vector<Key>
    take(std::size_t& budget_bytes, std::size_t times, Size size_of)
    {
        std::vector<Key> taken;
        std::vector<Key> outdated;
        for (const auto& [count, key] : order_)
        {
            auto bytes = size_of(key);
            if (bytes == 0)
                outdated.push_back(key);
            if (bytes > budget_bytes)
                break;
            budget_bytes -= bytes;
            if (bytes > 0)
                taken.push_back(key);
        }
        for (const auto& it : outdated)
            remove(it);
        for (const auto& it : taken)
            count(it, times);
        return taken;
    }

    /** Number of changes that wait. */
    std::size_t size() const noexcept
    {
        return carried_.size();
    }

private:
    void count(const Key& key, std::size_t times)
    {
        auto n = carried_.at(key) + 1;
        remove(key);
        if (n >= times)
            return;
        carried_[key] = n;
        order_.insert({n, key});
    }

    std::map<Key, std::size_t> carried_;
    std::set<std::pair<std::size_t, Key>> order_;
};

} // namespace turmericlane
