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
               make_deployment(request.deployment), request.what, request.which,
               request.seed)
        .run();
}

} // namespace

void run_all(
    const std::vector<run_request>& requests,
    const std::function<void(const run_request&, const run_result&)>& on_result)
{
    std::vector<std::optional<run_result>> results(requests.size());
    std::atomic<std::size_t> next = 0;
    std::mutex guard;
    std::condition_variable changed;
    auto work = [&]
    {
        for (auto it = next++; it < requests.size(); it = next++)
        {
            auto made = run_one(requests[it]);
            std::lock_guard lock(guard);
            results[it] = std::move(made);
            changed.notify_all();
        }
    };
    std::vector<std::jthread> threads;
    for (std::size_t it = 0; it < thread_count; ++it)
        threads.emplace_back(work);
    for (std::size_t it = 0; it < requests.size(); ++it)
    {
        std::unique_lock lock(guard);
        changed.wait(lock, [&] { return results[it].has_value(); });
        auto result = std::move(*results[it]);
        results[it]->records = {};
        lock.unlock();
        on_result(requests[it], result);
    }
}

} // namespace turmericlane::bench
