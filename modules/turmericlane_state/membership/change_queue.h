#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace turmericlane
{

/** Changes that are to be sent with the next heartbeats. The change that was
    sent least often comes first; each is sent a bounded number of times.

    @see membership_table
*/
template <class Key>
class change_queue
{
public:
    /** Queues a change. One that was sent before starts again from zero. */
    void add(const Key& key)
    {
        remove(key);
        send_counts_[key] = 0;
        by_send_count_.insert({0, key});
    }

    void remove(const Key& key)
    {
        auto it = send_counts_.find(key);
        if (it == send_counts_.end())
            return;
        by_send_count_.erase({it->second, key});
        send_counts_.erase(it);
    }

    /** Selects the changes for one message and counts them as sent. Outdated
        changes are removed.
        @param budget_bytes  space in the message; reduced by what is selected
        @param max_sends     how often a change is sent at most
        @param size_of       returns the size of a change in bytes, or 0 if it
                             is outdated */
    template <class SizeFunction>
    std::vector<Key> select_for_message(
        std::size_t& budget_bytes, std::size_t max_sends, SizeFunction size_of)
    {
        std::vector<Key> selected_keys;
        std::vector<Key> outdated_keys;
        for (const auto& [send_count, key] : by_send_count_)
        {
            auto bytes = size_of(key);
            if (bytes == 0)
                outdated_keys.push_back(key);
            if (bytes > budget_bytes)
                break;
            budget_bytes -= bytes;
            if (bytes > 0)
                selected_keys.push_back(key);
        }
        for (const auto& it : outdated_keys)
            remove(it);
        for (const auto& it : selected_keys)
            count_send(it, max_sends);
        return selected_keys;
    }

    /** Number of queued changes. */
    std::size_t size() const noexcept
    {
        return send_counts_.size();
    }

private:
    void count_send(const Key& key, std::size_t max_sends)
    {
        auto send_count = send_counts_.at(key) + 1;
        remove(key);
        if (send_count >= max_sends)
            return;
        send_counts_[key] = send_count;
        by_send_count_.insert({send_count, key});
    }

    std::map<Key, std::size_t> send_counts_;
    std::set<std::pair<std::size_t, Key>> by_send_count_;
};

} // namespace turmericlane
