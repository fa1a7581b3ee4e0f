#pragma once

#include <atomic>
#include <cstdint>

namespace turmericlane
{

/** A number of events that only grows. Any thread may call; no call waits.

    @see metrics_registry
*/
class counter
{
public:
    /** Counts events. */
    void add(std::uint64_t events = 1) noexcept
    {
        value_.fetch_add(events, std::memory_order_relaxed);
    }

    /** Events since the start of the process. */
    std::uint64_t value() const noexcept
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

/** A number that rises and falls. Any thread may call; no call waits.

    @see metrics_registry
*/
class gauge
{
public:
    /** Replaces the value. */
    void set(double value) noexcept
    {
        value_.store(value, std::memory_order_relaxed);
    }

    /** Adds to the value; negative amounts lower it. */
    void add(double amount) noexcept
    {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }

    /** The value that was last set. */
    double value() const noexcept
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> value_{0.0};
};

} // namespace turmericlane
