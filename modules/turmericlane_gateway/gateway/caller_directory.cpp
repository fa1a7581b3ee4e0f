#include "caller_directory.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** How often the instances are chosen anew. */
constexpr auto choice_period = 500ms;
constexpr double thousandths = 1000.0;
/** A change of the known fleet by this share starts the settling anew; single
    instances that come and go don't. */
constexpr double resize_share = 0.1;
/** The known fleet counts as complete after that time without such a change;
    87 instances that start together know each other after 2 s. */
constexpr auto settle_time = 2s;
/** Lifetime of addresses until then. Asking is part of a caller's time, so that
    it isn't shorter: an unusable address costs a caller about as much. */
constexpr auto unsettled_lifetime = 1s;

} // namespace

caller_directory::caller_directory(const member& self)
    : self_(self.listen_endpoint)
    , nonce_(self.nonce)
    , capacity_(self.capacity)
    , work_(self.capacity / thousandths)
{
}

void caller_directory::on_peer(
    std::uint64_t nonce,
    std::uint8_t busy_percent,
    std::uint32_t capacity,
    time_point now)
{
    placement_.on_processor_use(
        nonce, work_meter::cores(busy_percent, capacity), now);
}

void caller_directory::measure(time_point now)
{
    work_.measure(now);
    on_peer(nonce_, work_.busy_percent(), capacity_, now);
}

bool caller_directory::due(time_point now) const noexcept
{
    return now - chosen_ >= choice_period;
}

fleet_division caller_directory::choose(
    std::vector<member> live,
    const std::map<std::string, std::size_t>& searchers_nearby,
    std::uint32_t instances,
    time_point now)
{
    assert(instances > 0);
    chosen_ = now;
    const auto known = live.size();
    const auto before = static_cast<double>(fleet_size_);
    if (std::abs(static_cast<double>(known) - before) > resize_share * before)
    {
        fleet_size_ = known;
        resized_ = now;
    }
    const auto chosen =
        placement_.choose(std::move(live), searchers_nearby, now);
    named_.clear();
    for (const auto& it : chosen)
        named_.push_back(it.listen_endpoint);
    fleet_division made;
    made.self_named = std::any_of(
        chosen.begin(), chosen.end(),
        [this](const member& it) { return it.nonce == nonce_; });
    // All instances that may be running share, where none is left out.
    const auto all_named = chosen.size() == known && made.self_named;
    made.named = all_named ? instances
                           : std::clamp(
                                 static_cast<std::uint32_t>(chosen.size()), 1U,
                                 instances);
    made.instances =
        std::max(instances, made.named + (made.self_named ? 0 : 1));
    return made;
}

duration
caller_directory::address_lifetime(duration longest, time_point now) const
{
    const auto settled = now - resized_ >= settle_time;
    return settled ? longest : std::min<duration>(longest, unsettled_lifetime);
}

std::vector<endpoint> caller_directory::addresses(std::size_t most)
{
    auto all = named_;
    if (all.empty())
        all.push_back(self_);
    if (all.size() <= most)
        return all;
    // Each answer names others.
    std::rotate(
        all.begin(),
        all.begin() +
            static_cast<std::ptrdiff_t>(rotation_++ * most % all.size()),
        all.end());
    all.resize(most);
    return all;
}

} // namespace turmericlane
