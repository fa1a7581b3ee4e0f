#include "instance_view.h"

#include <nlohmann/json.hpp>

#include <cassert>

namespace turmericlane::load
{

namespace
{

constexpr std::chrono::milliseconds ask_time_limit{500};
constexpr std::chrono::seconds avoid_span{1};

/** Reads the answer of GET /v1/instances; empty if it isn't one. */
std::vector<endpoint> read_instances(const nlohmann::json& answer)
{
    std::vector<endpoint> made;
    if (!answer.is_object() || !answer.contains("instances"))
        return made;
    for (const auto& it : answer["instances"])
        made.push_back(
            {it.value("address", ""),
             static_cast<std::uint16_t>(it.value("http_port", 0))});
    return made;
}

} // namespace

instance_view::instance_view(client_pool& pool, std::vector<endpoint> first)
    : pool_(pool)
    , first_(std::move(first))
    , known_(first_)
{
    assert(!first_.empty());
}

endpoint instance_view::pick()
{
    std::lock_guard lock(mutex_);
    auto now = clock::now();
    if (now >= expires_)
        refresh(now);
    return next(now);
}

endpoint instance_view::pick_other(const endpoint& than)
{
    auto picked = pick();
    for (int n = 0; n < 3 && picked == than; ++n)
        picked = pick();
    return picked;
}

void instance_view::report_failure(const endpoint& failed)
{
    std::lock_guard lock(mutex_);
    avoided_until_[failed] = clock::now() + avoid_span;
}

endpoint instance_view::next(clock::time_point now)
{
    for (std::size_t n = 0; n < known_.size(); ++n)
    {
        const auto& it = known_[turn_++ % known_.size()];
        if (!avoided(it, now))
            return it;
    }
    return known_[turn_++ % known_.size()];
}

void instance_view::refresh(clock::time_point now)
{
    auto asked = known_;
    asked.insert(asked.end(), first_.begin(), first_.end());
    auto start = turn_;
    for (std::size_t n = 0; n < asked.size(); ++n)
    {
        const auto& it = asked[(start + n) % asked.size()];
        if (!avoided(it, now) && ask(it, now))
            return;
    }
    // Nobody answered: the old answer stays in use for a moment.
    expires_ = now + ask_time_limit;
}

bool instance_view::ask(const endpoint& asked, clock::time_point now)
{
    auto reply = pool_.get(asked, "/v1/instances", ask_time_limit);
    if (reply.state != exchange_state::replied || reply.status != 200)
    {
        avoided_until_[asked] = clock::now() + avoid_span;
        return false;
    }
    auto answer = nlohmann::json::parse(reply.body, nullptr, false);
    auto listed = read_instances(answer);
    if (listed.empty())
        return false;
    known_ = std::move(listed);
    expires_ = now + std::chrono::milliseconds(answer.value("lifetime_ms", 0));
    return true;
}

bool instance_view::avoided(const endpoint& it, clock::time_point now) const
{
    auto found = avoided_until_.find(it);
    return found != avoided_until_.end() && found->second > now;
}

} // namespace turmericlane::load
