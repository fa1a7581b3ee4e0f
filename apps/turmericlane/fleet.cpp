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
constexpr std::size_t max_parallel_requests = 16;

instance_response send_request(
    const ip_endpoint& target,
    std::chrono::milliseconds timeout,
    const std::string& path,
    const std::optional<nlohmann::json>& body)
{
    instance_client client(target, timeout);
    return {
        client.address(), body ? client.post(path, *body) : client.get(path)};
}

} // namespace

fleet_settings::fleet_settings(settings& flags)
    : instances(flags.add<endpoint_list_setting>(
          {"instances", "HTTP addresses of instances.", "", true},
          max_instances))
    , timeout(flags.add<millisecond_setting>(
          {"timeout", "Time limit for connecting and for the reply."},
          std::chrono::milliseconds(3000),
          std::chrono::milliseconds(1),
          std::chrono::milliseconds(600'000)))
    , json(flags.add<flag_setting>({"json", "Print JSON for scripts."}))
{
}

std::optional<std::string> error_of(const instance_response& response)
{
    if (!response.reply)
        return response.reply.error().detail;
    if (response.reply->status != 200)
        return response.instance + ": " + describe_refusal(*response.reply);
    return std::nullopt;
}

std::vector<instance_response>
send_to_all(const fleet_settings& fleet, const std::string& path)
{
    const auto& targets = fleet.instances.value();
    std::vector<std::optional<instance_response>> slots(targets.size());
    std::atomic<std::size_t> next_index{0};
    auto send_requests = [&]
    {
        for (auto n = next_index++; n < targets.size(); n = next_index++)
            slots[n].emplace(send_request(
                targets[n], fleet.timeout.as_duration(), path, std::nullopt));
    };
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < std::min(max_parallel_requests, targets.size());
         ++n)
        threads.emplace_back(send_requests);
    for (auto& it : threads)
        it.join();
    std::vector<instance_response> responses;
    responses.reserve(slots.size());
    for (auto& it : slots)
        responses.push_back(std::move(*it));
    return responses;
}

instance_response send_to_first(
    const std::vector<ip_endpoint>& instances,
    std::chrono::milliseconds timeout,
    const std::string& path,
    const std::optional<nlohmann::json>& body)
{
    assert(!instances.empty());
    auto response = send_request(instances.front(), timeout, path, body);
    for (std::size_t n = 1; n < instances.size(); ++n)
    {
        if (response.reply || !response.reply.error().not_sent)
            break;
        response = send_request(instances[n], timeout, path, body);
    }
    return response;
}

} // namespace turmericlane
