#include "request_memory.h"

#include <sys/socket.h>

#include <algorithm>

namespace turmericlane
{

request_memory::request_memory(std::size_t max_bytes)
    : max_bytes_(max_bytes)
{
}

std::size_t request_memory::total_bytes() const
{
    std::lock_guard lock(mutex_);
    return total_bytes_;
}

std::uint64_t request_memory::given_up_count() const
{
    std::lock_guard lock(mutex_);
    return given_up_count_;
}

// The caller holds mutex_.
void request_memory::give_up_worst()
{
    const auto now = std::chrono::steady_clock::now();
    while (total_bytes_ > max_bytes_)
    {
        const auto worst = std::max_element(
            claims_.begin(), claims_.end(),
            [now](const auto* first, const auto* second)
            { return first->cost(now) < second->cost(now); });
        if (worst == claims_.end() || (*worst)->cost(now) <= 0)
            return;
        auto& claim = **worst;
        total_bytes_ -= claim.bytes_;
        claim.bytes_ = 0;
        claim.is_given_up_ = true;
        ++given_up_count_;
        ::shutdown(claim.socket_, SHUT_RD);
    }
}

request_memory_claim::request_memory_claim(request_memory& memory, int socket)
    : memory_(memory)
    , socket_(socket)
{
    std::lock_guard lock(memory_.mutex_);
    position_ = memory_.claims_.size();
    memory_.claims_.push_back(this);
}

request_memory_claim::~request_memory_claim()
{
    std::lock_guard lock(memory_.mutex_);
    memory_.total_bytes_ -= bytes_;
    memory_.claims_.back()->position_ = position_;
    memory_.claims_[position_] = memory_.claims_.back();
    memory_.claims_.pop_back();
}

bool request_memory_claim::set_receiving(std::size_t bytes, time_point since)
{
    return set(bytes, since, true);
}

bool request_memory_claim::set_in_flight(std::size_t bytes)
{
    return set(bytes, {}, false);
}

void request_memory_claim::release()
{
    set(0, {}, false);
}

bool request_memory_claim::is_given_up() const
{
    std::lock_guard lock(memory_.mutex_);
    return is_given_up_;
}

bool request_memory_claim::set(
    std::size_t bytes, time_point since, bool is_receiving)
{
    std::lock_guard lock(memory_.mutex_);
    if (is_given_up_)
        return false;
    memory_.total_bytes_ += bytes;
    memory_.total_bytes_ -= bytes_;
    bytes_ = bytes;
    since_ = since;
    is_receiving_ = is_receiving;
    if (memory_.total_bytes_ > memory_.max_bytes_)
        memory_.give_up_worst();
    return !is_given_up_;
}

// The caller holds the mutex of memory_. A request that can't be given up costs
// nothing.
double request_memory_claim::cost(time_point now) const noexcept
{
    if (!is_receiving_ || is_given_up_ || bytes_ == 0)
        return 0;
    // A request that has just begun counts as one millisecond old, so that one
    // of two new requests with equal age is chosen by its bytes.
    const auto age = std::max<std::chrono::duration<double>>(
        now - since_, std::chrono::milliseconds(1));
    return static_cast<double>(bytes_) * age.count();
}

} // namespace turmericlane
