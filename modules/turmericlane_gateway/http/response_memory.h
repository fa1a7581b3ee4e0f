#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace turmericlane
{

/** Receives the decision of a response_memory. */
class response_holder
{
public:
    virtual ~response_holder() = default;

    /** The incomplete answer must be given up, and its memory freed. */
    virtual void give_up_response() = 0;
};

/** Bounds the memory of the answers that are being received on all connections
    of a process together.

    A faulty server may send bytes without end. A limit for each connection
    would have to be as large as the largest proper answer, and many such
    connections would still exhaust the process. If the sum exceeds the limit,
    the largest answer is given up; proper ones are smaller.

    Only one thread may use it.

    @see client_connection
*/
class response_memory
{
public:
    /** @param max_bytes  limit of the sum; at least 1 */
    explicit response_memory(std::size_t max_bytes);

    /** Sets the memory that an incomplete answer occupies. The answer that
        occupies most is given up while the sum exceeds the limit; that may be
        this one.
        @param holder  must call release before it is destroyed */
    void set(response_holder& holder, std::size_t bytes);

    /** Call when an answer is complete or was given up. */
    void release(response_holder& holder);

    /** Returns the sum of the memory, in bytes. */
    std::size_t total_bytes() const noexcept
    {
        return total_bytes_;
    }

    /** Returns the number of answers that were given up. */
    std::uint64_t given_up_count() const noexcept
    {
        return given_up_count_;
    }

private:
    void give_up_largest();

    std::size_t max_bytes_;
    std::size_t total_bytes_ = 0;
    std::uint64_t given_up_count_ = 0;
    std::unordered_map<response_holder*, std::size_t> bytes_by_holder_;
};

} // namespace turmericlane
