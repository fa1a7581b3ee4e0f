#include "caller_directory.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Period in which the instances are chosen again. */
constexpr auto choice_period = 500ms;
constexpr double thousandths = 1000.0;
/** A change of the number of known instances by more than this share restarts
    the settling time; single instances that come and go do not. */
constexpr double min_resize_share = 0.1;
/** The known fleet counts as complete after this time without such a change:
    87 instances that start together know each other after 2 s. */
constexpr auto settle_time = 2s;
/** Lifetime of addresses until the fleet has settled. It is not shorter because
    asking for addresses costs a caller about as much time as trying an unusable
    one. */
constexpr auto unsettled_lifetime = 1s;

std::vector<endpoint> endpoints_of(std::span<const member> members)
{
    std::vector<endpoint> endpoints;
    endpoints.reserve(members.size());
    for (const auto& it : members)
        endpoints.push_back(it.listen_endpoint);
    return endpoints;
}

} // namespace

caller_directory::caller_directory(const member& self)
    : self_(self.listen_endpoint)
    , nonce_(self.nonce)
    , capacity_(self.capacity)
    , meter_(self.capacity / thousandths)
{
}

void caller_directory::on_peer_load(
    std::uint64_t nonce,
    std::uint8_t busy_percent,
    std::uint32_t capacity,
    time_point now)
{
    placement_.on_processor_use(
        nonce, work_meter::used_cores(busy_percent, capacity), now);
}

void caller_directory::measure(time_point now)
{
    meter_.measure(now);
    on_peer_load(nonce_, meter_.busy_percent(), capacity_, now);
}

bool caller_directory::is_choice_due(time_point now) const noexcept
{
    return now - last_choice_ >= choice_period;
}

fleet_division caller_directory::choose_instances(
    std::vector<member> live_members,
    const std::map<std::string, std::size_t>& searchers_nearby,
    std::uint32_t instances,
    time_point now)
{
    assert(instances > 0);
    last_choice_ = now;
    const auto known_count = live_members.size();
    const auto previous_size = static_cast<double>(fleet_size_);
    if (std::abs(static_cast<double>(known_count) - previous_size) >
        min_resize_share * previous_size)
    {
        fleet_size_ = known_count;
        last_resize_ = now;
    }
    live_members_ = live_members;
    named_members_ =
        placement_.choose(std::move(live_members), searchers_nearby, now);
    fleet_division division;
    division.is_self_named = std::any_of(
        named_members_.begin(), named_members_.end(),
        [this](const member& it) { return it.nonce == nonce_; });
    // If every known instance is named, those that may be running but are not
    // known count as named, too.
    const auto are_all_named =
        named_members_.size() == known_count && division.is_self_named;
    division.named_instances =
        are_all_named ? instances
                      : std::clamp(
                            static_cast<std::uint32_t>(named_members_.size()),
                            1U, instances);
    division.instances = std::max(
        instances, division.named_instances + (division.is_self_named ? 0 : 1));
    return division;
}

duration
caller_directory::address_lifetime(duration max_lifetime, time_point now) const
{
    const auto is_settled = now - last_resize_ >= settle_time;
    return is_settled ? max_lifetime
                      : std::min<duration>(max_lifetime, unsettled_lifetime);
}

std::vector<endpoint> caller_directory::addresses(std::size_t max_count)
{
    auto endpoints = endpoints_of(named_members_);
    if (endpoints.empty())
        endpoints.push_back(self_);
    return rotate(std::move(endpoints), max_count);
}

std::vector<endpoint> caller_directory::addresses(
    std::size_t max_count,
    const std::function<bool(const std::string&)>& is_preferred)
{
    for (const auto* members : {&named_members_, &live_members_})
    {
        std::vector<member> preferred_members;
        std::copy_if(
            members->begin(), members->end(),
            std::back_inserter(preferred_members),
            [&is_preferred](const member& it)
            { return is_preferred(it.data_centre); });
        if (!preferred_members.empty())
            return rotate(endpoints_of(preferred_members), max_count);
    }
    return addresses(max_count);
}

std::vector<endpoint>
caller_directory::rotate(std::vector<endpoint> endpoints, std::size_t max_count)
{
    if (endpoints.size() <= max_count)
        return endpoints;
    // Successive answers start at different endpoints.
    std::rotate(
        endpoints.begin(),
        endpoints.begin() + static_cast<std::ptrdiff_t>(
                                rotation_++ * max_count % endpoints.size()),
        endpoints.end());
    endpoints.resize(max_count);
    return endpoints;
}

} // namespace turmericlane
