#pragma once

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace turmericlane
{

/** A slot map: records with handles that become invalid for good when their
    record is removed.

    A handle holds the index of a slot and the slot's generation. A late message
    that refers to a removed record therefore finds nothing, and a look-up needs
    no hashing. Records keep their address until they are removed.

    @see dispatch_engine
*/
template <class Record>
class slot_map
{
public:
    using handle = std::uint64_t;

    /** Adds a default-constructed record and returns its handle. */
    handle add()
    {
        if (free_indices_.empty())
        {
            free_indices_.push_back(static_cast<std::uint32_t>(slots_.size()));
            slots_.emplace_back();
        }
        auto index = free_indices_.back();
        free_indices_.pop_back();
        auto& it = slots_[index];
        it.is_used = true;
        ++size_;
        return (handle{it.generation} << 32U) | index;
    }

    /** Returns a record, or null if it was removed. */
    Record* find(handle key)
    {
        auto index = static_cast<std::uint32_t>(key);
        if (index >= slots_.size())
            return nullptr;
        auto& it = slots_[index];
        if (!it.is_used || it.generation != key >> 32U)
            return nullptr;
        return &it.record;
    }

    /** Returns a record, or null if it was removed. */
    const Record* find(handle key) const
    {
        auto index = static_cast<std::uint32_t>(key);
        if (index >= slots_.size())
            return nullptr;
        const auto& it = slots_[index];
        if (!it.is_used || it.generation != key >> 32U)
            return nullptr;
        return &it.record;
    }

    /** Removes a record, which must be in the map. */
    void remove(handle key)
    {
        assert(find(key) != nullptr);
        auto index = static_cast<std::uint32_t>(key);
        auto& it = slots_[index];
        it.record = Record{};
        it.is_used = false;
        ++it.generation;
        --size_;
        free_indices_.push_back(index);
    }

    /** Returns the number of records. */
    std::size_t size() const noexcept
    {
        return size_;
    }

    /** Calls a function with each record. The function must not add or remove
        records. */
    template <class Function>
    void for_each(Function function) const
    {
        for (const auto& it : slots_)
            if (it.is_used)
                function(it.record);
    }

private:
    struct slot
    {
        Record record;
        /** Starts at 1, so that 0 is never a valid handle. */
        std::uint32_t generation = 1;
        bool is_used = false;
    };

    std::deque<slot> slots_;
    std::vector<std::uint32_t> free_indices_;
    std::size_t size_ = 0;
};

} // namespace turmericlane
