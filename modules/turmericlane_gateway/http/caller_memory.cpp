#include "caller_memory.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** When the limit is exceeded, holders give up until this share of it is in
    use, so that they are not compared again for each further byte. */
constexpr double target_share = 0.875;
/** Age that is added to every holder's, so that among those of one moment the
    largest pays. */
constexpr auto min_age = 1ms;

} // namespace

caller_memory::caller_memory(const clock& time, std::size_t max_bytes)
    : clock_(time)
    , max_bytes_(max_bytes)
{
    assert(max_bytes > 0);
}

void caller_memory::give_up_worst()
{
    if (is_giving_up_)
        return;
    is_giving_up_ = true;
    const auto now = clock_.now();
    const auto target_bytes = static_cast<std::size_t>(
        static_cast<double>(max_bytes_) * target_share);
    while (total_bytes_ > target_bytes)
    {
        caller_memory_claim* worst = nullptr;
        for (auto* const it : claims_)
        {
            if (it->is_in_flight_ || it->bytes_ == 0)
                continue;
            if (worst == nullptr || it->cost(now) > worst->cost(now))
                worst = it;
        }
        if (worst == nullptr)
            break;
        ++given_up_count_;
        // Released here as well, so that the loop ends whatever the holder
        // does.
        total_bytes_ -= std::exchange(worst->bytes_, 0);
        worst->holder_.give_up_memory();
    }
    is_giving_up_ = false;
}

caller_memory_claim::caller_memory_claim(
    caller_memory& memory, caller_memory_holder& holder)
    : memory_(memory)
    , holder_(holder)
    , position_(memory.claims_.size())
{
    memory_.claims_.push_back(this);
}

caller_memory_claim::~caller_memory_claim()
{
    memory_.total_bytes_ -= bytes_;
    auto& claims = memory_.claims_;
    claims[position_] = claims.back();
    claims[position_]->position_ = position_;
    claims.pop_back();
}

void caller_memory_claim::set(
    std::size_t bytes, time_point since, bool is_in_flight)
{
    memory_.total_bytes_ += bytes;
    memory_.total_bytes_ -= bytes_;
    bytes_ = bytes;
    since_ = since;
    is_in_flight_ = is_in_flight;
    if (memory_.is_full())
        memory_.give_up_worst();
}

double caller_memory_claim::cost(time_point now) const noexcept
{
    const std::chrono::duration<double> age = now - since_ + min_age;
    return static_cast<double>(bytes_) * age.count();
}

} // namespace turmericlane
