#include "parallel_runs.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

namespace turmericlane::bench
{
namespace
{

constexpr std::size_t thread_count = 5;

run_result run_one(const run_request& request)
{
    return bench_run(
               make_deployment(request.deployment), request.selected_scenario,
               request.selected_variant, request.seed)
        .run();
}

} // namespace

void run_in_parallel(
    const std::vector<run_request>& requests,
    const std::function<void(const run_request&, const run_result&)>& on_result)
{
    std::vector<std::optional<run_result>> results(requests.size());
    std::atomic<std::size_t> next_request = 0;
    std::mutex results_mutex;
    std::condition_variable result_added;
    auto run_requests = [&]
    {
        for (auto it = next_request++; it < requests.size();
             it = next_request++)
        {
            auto finished_run = run_one(requests[it]);
            std::lock_guard lock(results_mutex);
            results[it] = std::move(finished_run);
            result_added.notify_all();
        }
    };
    std::vector<std::jthread> threads;
    for (std::size_t it = 0; it < thread_count; ++it)
        threads.emplace_back(run_requests);
    for (std::size_t it = 0; it < requests.size(); ++it)
    {
        std::unique_lock lock(results_mutex);
        result_added.wait(lock, [&] { return results[it].has_value(); });
        auto result = std::move(*results[it]);
        results[it]->records = {};
        lock.unlock();
        on_result(requests[it], result);
    }
}

} // namespace turmericlane::bench
