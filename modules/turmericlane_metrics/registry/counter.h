#pragma once

#include <atomic>
#include <cstdint>

namespace turmericlane
{

/** A count of events that never decreases. All methods may be called from any
    thread and never block.

    @see metrics_registry
*/
class counter
{
public:
    /** Adds to the count. */
    void add(std::uint64_t events = 1) noexcept
    {
        value_.fetch_add(events, std::memory_order_relaxed);
    }

    /** Returns the number of events since the start of the process. */
    std::uint64_t value() const noexcept
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

/** A value that may increase and decrease. All methods may be called from any
    thread and never block.

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

    /** Adds an amount, which may be negative, to the value. */
    void add(double amount) noexcept
    {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }

    /** Returns the present value. */
    double value() const noexcept
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> value_{0.0};
};

} // namespace turmericlane
