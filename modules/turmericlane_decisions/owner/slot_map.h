#pragma once

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace turmericlane
{

/** Records with handles that stay invalid after the record is removed.

    A handle holds a position and the generation of that position, so a late
    message that names a removed record finds nothing, and looking up costs no
    hashing. Records keep their address until they are removed.

    @see dispatch_engine
*/
template <class Record>
class slot_map
{
public:
    using handle = std::uint64_t;

    /** Adds a default record. */
    handle add()
    {
        if (free_.empty())
        {
            free_.push_back(static_cast<std::uint32_t>(slots_.size()));
            slots_.emplace_back();
        }
        auto at = free_.back();
        free_.pop_back();
        auto& it = slots_[at];
        it.used = true;
        ++size_;
        return (handle{it.generation} << 32U) | at;
    }

    /** The record, or null if it was removed. */
    Record* find(handle of)
    {
        auto at = static_cast<std::uint32_t>(of);
        if (at >= slots_.size())
            return nullptr;
        auto& it = slots_[at];
        if (!it.used || it.generation != of >> 32U)
            return nullptr;
        return &it.record;
    }

    /** The record, or null if it was removed. */
    const Record* find(handle of) const
    {
        auto at = static_cast<std::uint32_t>(of);
        if (at >= slots_.size())
            return nullptr;
        const auto& it = slots_[at];
        if (!it.used || it.generation != of >> 32U)
            return nullptr;
        return &it.record;
    }

    /** Removes a record that is there. */
    void remove(handle of)
    {
        assert(find(of) != nullptr);
        auto at = static_cast<std::uint32_t>(of);
        auto& it = slots_[at];
        it.record = Record{};
        it.used = false;
        ++it.generation;
        --size_;
        free_.push_back(at);
    }

    /** Number of records. */
    std::size_t size() const noexcept
    {
        return size_;
    }

    /** Calls a function with each record. It must not add or remove. */
    template <class Function>
    void for_each(Function call) const
    {
        for (const auto& it : slots_)
            if (it.used)
                call(it.record);
    }

private:
    struct slot
    {
        Record record;
        /** From 1, so that 0 is never a valid handle. */
        std::uint32_t generation = 1;
        bool used = false;
    };

    std::deque<slot> slots_;
    std::vector<std::uint32_t> free_;
    std::size_t size_ = 0;
};

} // namespace turmericlane
