#include "instance_cache.h"

#include <nlohmann/json.hpp>

#include <cassert>

namespace turmericlane::load
{

namespace
{

constexpr std::chrono::milliseconds list_timeout{500};
constexpr std::chrono::seconds avoid_duration{1};

/** Returns the instances in an answer to GET /v1/instances; empty if the answer
    is invalid. */
std::vector<endpoint> read_instances(const nlohmann::json& answer)
{
    std::vector<endpoint> result;
    if (!answer.is_object() || !answer.contains("instances"))
        return result;
    for (const auto& it : answer["instances"])
        result.push_back(
            {it.value("address", ""),
             static_cast<std::uint16_t>(it.value("http_port", 0))});
    return result;
}

} // namespace

instance_cache::instance_cache(
    client_pool& pool, std::vector<endpoint> initial_instances)
    : pool_(pool)
    , initial_instances_(std::move(initial_instances))
    , current_instances_(initial_instances_)
{
    assert(!initial_instances_.empty());
}

endpoint instance_cache::next_instance()
{
    std::lock_guard lock(mutex_);
    auto now = clock::now();
    if (now >= expiry_time_)
        refresh_list(now);
    return next_available(now);
}

endpoint instance_cache::next_other_instance(const endpoint& excluded)
{
    auto instance = next_instance();
    for (int n = 0; n < 3 && instance == excluded; ++n)
        instance = next_instance();
    return instance;
}

void instance_cache::report_failure(const endpoint& failed_instance)
{
    std::lock_guard lock(mutex_);
    avoid_end_times_[failed_instance] = clock::now() + avoid_duration;
}

endpoint instance_cache::next_available(clock::time_point now)
{
    for (std::size_t n = 0; n < current_instances_.size(); ++n)
    {
        const auto& it =
            current_instances_[next_index_++ % current_instances_.size()];
        if (!is_avoided(it, now))
            return it;
    }
    return current_instances_[next_index_++ % current_instances_.size()];
}

void instance_cache::refresh_list(clock::time_point now)
{
    auto candidates = current_instances_;
    candidates.insert(
        candidates.end(), initial_instances_.begin(), initial_instances_.end());
    auto start = next_index_;
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        const auto& it = candidates[(start + n) % candidates.size()];
        if (!is_avoided(it, now) && fetch_list(it, now))
            return;
    }
    // No instance answered: the old list stays in use until the next attempt.
    expiry_time_ = now + list_timeout;
}

bool instance_cache::fetch_list(const endpoint& source, clock::time_point now)
{
    auto reply = pool_.get(source, "/v1/instances", list_timeout);
    if (reply.state != exchange_state::replied || reply.status != 200)
    {
        avoid_end_times_[source] = clock::now() + avoid_duration;
        return false;
    }
    auto answer = nlohmann::json::parse(reply.body, nullptr, false);
    auto listed_instances = read_instances(answer);
    if (listed_instances.empty())
        return false;
    current_instances_ = std::move(listed_instances);
    expiry_time_ =
        now + std::chrono::milliseconds(answer.value("lifetime_ms", 0));
    return true;
}

bool instance_cache::is_avoided(
    const endpoint& instance, clock::time_point now) const
{
    auto found = avoid_end_times_.find(instance);
    return found != avoid_end_times_.end() && found->second > now;
}

} // namespace turmericlane::load
