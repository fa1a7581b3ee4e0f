#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace turmericlane
{

/** Holds memory on behalf of a caller. */
class caller_memory_holder
{
public:
    virtual ~caller_memory_holder() = default;

    /** The request or answer must be given up and its memory freed. */
    virtual void give_up_memory() = 0;
};

/** Bounds the memory that a process holds on behalf of its callers: requests
    that are being read, requests in flight, and answers that have not been
    taken.

    Callers that are not trusted may send or take their bytes slowly, or never.
    A limit for each connection would have to be as large as the largest proper
    request, and many connections would still exhaust the process. If the sum
    exceeds the limit, those pay that hold the most bytes for the longest time
    without finishing. Requests in flight can't be given up; while they alone
    exceed the limit, new ones are refused.

    Only one thread may use it.

    @see caller_memory_claim, caller_session, response_memory
*/
class caller_memory
{
public:
    /** @param max_bytes  limit of the sum; at least 1 */
    explicit caller_memory(
        const clock& time,
        std::size_t max_bytes = std::numeric_limits<std::size_t>::max());
    caller_memory(const caller_memory&) = delete;
    caller_memory& operator=(const caller_memory&) = delete;

    /** True if no new request can be taken. */
    bool is_full() const noexcept
    {
        return total_bytes_ > max_bytes_;
    }

    /** Returns the sum of the held memory, in bytes. */
    std::size_t total_bytes() const noexcept
    {
        return total_bytes_;
    }

    /** Returns the number of requests and answers that were given up. */
    std::uint64_t given_up_count() const noexcept
    {
        return given_up_count_;
    }

private:
    friend class caller_memory_claim;

    void give_up_worst();

    const clock& clock_;
    std::size_t max_bytes_;
    std::size_t total_bytes_ = 0;
    std::uint64_t given_up_count_ = 0;
    std::vector<class caller_memory_claim*> claims_;
    bool is_giving_up_ = false;
};

/** The share of a caller_memory that one holder uses. */
class caller_memory_claim
{
public:
    /** @param memory  must outlive the claim
        @param holder  must outlive the claim */
    caller_memory_claim(caller_memory& memory, caller_memory_holder& holder);
    ~caller_memory_claim();
    caller_memory_claim(const caller_memory_claim&) = delete;
    caller_memory_claim& operator=(const caller_memory_claim&) = delete;

    /** Sets what the holder holds now. Holders may be told to give up their
        memory before this returns, also this one.
        @param bytes         held memory
        @param since         when the request or answer began
        @param is_in_flight  true if it can't be given up */
    void set(std::size_t bytes, time_point since, bool is_in_flight);

private:
    friend class caller_memory;

    /** Returns the held bytes times the time for which they are held. */
    double cost(time_point now) const noexcept;

    caller_memory& memory_;
    caller_memory_holder& holder_;
    /** Position in caller_memory::claims_. */
    std::size_t position_;
    std::size_t bytes_ = 0;
    time_point since_{};
    bool is_in_flight_ = false;
};

} // namespace turmericlane
