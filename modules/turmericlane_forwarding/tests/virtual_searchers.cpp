#include "virtual_searchers.h"

#include <algorithm>

namespace turmericlane::tests
{

using namespace std::chrono_literals;

virtual_searchers::virtual_searchers(repeat_limits limits)
    : registry(time, *this)
    , engine({"north", 7, limits}, time, registry, *this, *this)
{
    engine.set_instances(1);
    // Budgets hold back in their first window.
    time.advance(limits.window);
}

std::shared_ptr<searcher>
virtual_searchers::add(const std::string& service, const std::string& id)
{
    searcher_entry entry;
    entry.id = id;
    entry.service = service;
    entry.address = "10.0.0.1";
    entry.data_centre = "north";
    entry.slots = 3;
    registry.on_entry(entry);
    auto made = registry.of_service(service).back();
    made->set_window(8);
    return made;
}

route virtual_searchers::gathered(std::size_t shards, double min_coverage)
{
    route made;
    made.name = "gathered";
    made.timeout = 2s;
    made.target = 100ms;
    made.max_attempts = 2;
    made.top_count = 5;
    made.min_coverage = min_coverage;
    for (std::size_t i = 0; i < shards; ++i)
        made.shards.push_back("s" + std::to_string(i));
    return made;
}

route virtual_searchers::single(const std::string& service, repetition repeat)
{
    route made;
    made.name = "single";
    made.repeat = repeat;
    made.timeout = 2s;
    made.target = 100ms;
    made.max_attempts = 2;
    made.services = {{service, 1.0}};
    return made;
}

request_handle virtual_searchers::start(const route& how, duration time_left)
{
    route_configuration configuration;
    configuration.version = 1;
    configuration.routes = {how};
    auto routes = std::make_shared<route_table>(std::move(configuration), 0.0);
    forward_request request;
    request.id = ++last_request_;
    request.how = &routes->configuration().routes.front();
    request.routes = std::move(routes);
    request.time_left = time_left;
    const auto id = request.id;
    started_[id] = time.now();
    engine.start(std::move(request));
    return id;
}

void virtual_searchers::run(duration span)
{
    const auto end = time.now() + span;
    for (;;)
    {
        deliver();
        auto next = std::min(end, engine.next_wakeup());
        for (const auto& it : due_)
            next = std::min(next, it.at);
        if (next > time.now())
            time.advance_to(next);
        deliver();
        engine.on_timer();
        const auto idle =
            std::none_of(
                due_.begin(), due_.end(),
                [&](const due_result& it) { return it.at <= time.now(); }) &&
            engine.next_wakeup() > time.now();
        if (idle && time.now() >= end)
            return;
    }
}

void virtual_searchers::send(
    attempt_handle attempt,
    request_handle request,
    const std::shared_ptr<searcher>& target,
    duration time_left)
{
    attempts.push_back({request, target->entry().id, time_left});
    const auto found = scripts.find(target->entry().id);
    const auto how = found == scripts.end() ? behaviour{} : found->second();
    if (how.after)
        due_.push_back({time.now() + *how.after, attempt, how.outcome});
}

void virtual_searchers::abandon(attempt_handle attempt)
{
    abandoned.push_back(attempt);
    std::erase_if(
        due_, [attempt](const auto& it) { return it.attempt == attempt; });
}

void virtual_searchers::finish(request_handle request, forward_result&& result)
{
    took[request] = time.now() - started_[request];
    results[request] = std::move(result);
}

void virtual_searchers::repeated(
    const forward_request&, const std::string&, bool hedge)
{
    ++(hedge ? hedges : retries);
}

void virtual_searchers::attempt_failed(
    const forward_request&, const searcher&, attempt_outcome)
{
}

void virtual_searchers::searcher_added(const std::shared_ptr<searcher>&) {}

void virtual_searchers::searcher_leaving(
    const std::shared_ptr<searcher>&, std::string_view)
{
}

void virtual_searchers::deliver()
{
    std::vector<due_result> ready;
    std::erase_if(
        due_,
        [&](const due_result& it)
        {
            if (it.at > time.now())
                return false;
            ready.push_back(it);
            return true;
        });
    for (const auto& it : ready)
    {
        attempt_result made;
        made.outcome = it.outcome;
        if (it.outcome == attempt_outcome::answered)
        {
            made.answer.status = 200;
            made.answer.signature = "sig-" + std::to_string(it.attempt);
            made.answer.body = std::string(record_bytes, 'r');
        }
        engine.on_result(it.attempt, std::move(made));
    }
}

} // namespace turmericlane::tests
