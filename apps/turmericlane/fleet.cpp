#include "fleet.h"

#include <algorithm>
#include <atomic>
#include <cassert>
#include <thread>

namespace turmericlane
{

namespace
{

constexpr std::size_t max_instances = 2400;
constexpr std::size_t max_parallel = 16;

fleet_reply
ask(const ip_endpoint& target,
    std::chrono::milliseconds timeout,
    const std::string& path,
    const std::optional<nlohmann::json>& body)
{
    instance_client client(target, timeout);
    return {client.name(), body ? client.post(path, *body) : client.get(path)};
}

} // namespace

fleet_settings::fleet_settings(settings& to)
    : instances(to.add<endpoint_list_setting>(
          {"instances", "HTTP addresses of instances.", "", true},
          max_instances))
    , timeout(to.add<millisecond_setting>(
          {"timeout", "Bound on connecting and on the reply."},
          std::chrono::milliseconds(3000),
          std::chrono::milliseconds(1),
          std::chrono::milliseconds(600'000)))
    , json(to.add<flag_setting>({"json", "Print JSON for scripts."}))
{
}

std::optional<std::string> error_of(const fleet_reply& from)
{
    if (!from.reply)
        return from.reply.error().detail;
    if (from.reply->status != 200)
        return from.instance + ": " + describe_refusal(*from.reply);
    return std::nullopt;
}

std::vector<fleet_reply>
ask_all(const fleet_settings& fleet, const std::string& path)
{
    const auto& targets = fleet.instances.value();
    std::vector<std::optional<fleet_reply>> replies(targets.size());
    std::atomic<std::size_t> next{0};
    auto work = [&]
    {
        for (auto n = next++; n < targets.size(); n = next++)
            replies[n].emplace(ask(
                targets[n], fleet.timeout.as_duration(), path, std::nullopt));
    };
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < std::min(max_parallel, targets.size()); ++n)
        threads.emplace_back(work);
    for (auto& it : threads)
        it.join();
    std::vector<fleet_reply> made;
    made.reserve(replies.size());
    for (auto& it : replies)
        made.push_back(std::move(*it));
    return made;
}

fleet_reply ask_first(
    const std::vector<ip_endpoint>& fleet,
    std::chrono::milliseconds timeout,
    const std::string& path,
    const std::optional<nlohmann::json>& body)
{
    assert(!fleet.empty());
    auto got = ask(fleet.front(), timeout, path, body);
    for (std::size_t n = 1; n < fleet.size(); ++n)
    {
        if (got.reply || !got.reply.error().not_sent)
            break;
        got = ask(fleet[n], timeout, path, body);
    }
    return got;
}

} // namespace turmericlane
