#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <vector>

namespace turmericlane
{

/** Bounds the memory that an HTTP server holds for the requests and responses
    of all its connections.

    If the sum exceeds its limit, requests that are still being received are
    given up until it doesn't: first those that hold the most bytes for the
    longest time. A request that a handler has is never given up, since it may
    have run; while such requests alone exceed the limit, each further one is
    given up as it arrives. Thread-safe.

    @see request_memory_claim
*/
class request_memory
{
public:
    /** @param max_bytes  limit of the sum */
    explicit request_memory(std::size_t max_bytes);
    request_memory(const request_memory&) = delete;
    request_memory& operator=(const request_memory&) = delete;

    /** Returns the sum of the held memory, in bytes. */
    std::size_t total_bytes() const;

    /** Returns the number of requests that were given up. */
    std::uint64_t given_up_count() const;

private:
    friend class request_memory_claim;

    void give_up_worst();

    const std::size_t max_bytes_;
    mutable std::mutex mutex_;
    // Guarded by mutex_.
    std::size_t total_bytes_ = 0;
    std::uint64_t given_up_count_ = 0;
    std::vector<class request_memory_claim*> claims_;
};

/** The share of a request_memory that one connection uses. Only one thread may
    use it. */
class request_memory_claim
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /** @param memory  must outlive the claim
        @param socket  of the connection; its receiving side is shut down when
                       the request is given up, which wakes the thread that
                       waits for its bytes */
    request_memory_claim(request_memory& memory, int socket);
    ~request_memory_claim();
    request_memory_claim(const request_memory_claim&) = delete;
    request_memory_claim& operator=(const request_memory_claim&) = delete;

    /** Sets what a request holds that is still being received.
        @param since  when the request began
        @returns false if the request has been given up */
    bool set_receiving(std::size_t bytes, time_point since);

    /** Sets what a request holds that a handler has, or that is answered.
        @returns false if the request had been given up before */
    bool set_in_flight(std::size_t bytes);

    /** Releases the memory when the request has ended. */
    void release();

    /** True if a request of this connection has been given up. */
    bool is_given_up() const;

private:
    friend class request_memory;

    bool set(std::size_t bytes, time_point since, bool is_receiving);
    double cost(time_point now) const noexcept;

    request_memory& memory_;
    const int socket_;
    // Guarded by the mutex of memory_.
    std::size_t position_ = 0;
    std::size_t bytes_ = 0;
    time_point since_{};
    bool is_receiving_ = false;
    bool is_given_up_ = false;
};

} // namespace turmericlane
