#pragma once

#include <turmericlane_forwarding/turmericlane_forwarding.h>

#include <functional>
#include <map>
#include <optional>

namespace turmericlane::tests
{

/** A forward_engine, searchers whose answers a test scripts, and a virtual
    clock. */
class virtual_searchers : private forward_actions,
                          private forward_listener,
                          private searcher_listener
{
public:
    /** How a searcher treats an attempt. */
    struct behaviour
    {
        attempt_outcome outcome = attempt_outcome::answered;
        /** Nothing for an attempt that is never answered. */
        std::optional<duration> after = std::chrono::milliseconds(5);
    };

    /** An attempt that was sent. */
    struct sent
    {
        request_handle request = 0;
        std::string searcher;
        duration time_left{};
    };

    explicit virtual_searchers(repeat_limits limits = {0.2, 54.0});

    /** Adds a searcher. */
    std::shared_ptr<searcher>
    add(const std::string& service, const std::string& id);

    /** Puts a route in force that gathers from services s0, s1, … */
    route gathered(std::size_t shards, double min_coverage);

    /** Puts a route to one service in force. */
    route single(const std::string& service, repetition repeat);

    /** Starts a request on a route. */
    request_handle
    start(const route& how, duration time_left = std::chrono::seconds(2));

    /** Lets time pass and delivers what is due. */
    void run(duration span);

    /** Answer of a searcher by its id; the default is an answer in 5 ms. */
    std::map<std::string, std::function<behaviour()>> scripts;

    std::vector<sent> attempts;
    std::vector<attempt_handle> abandoned;
    std::map<request_handle, forward_result> results;
    std::map<request_handle, duration> took;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;

    manual_clock time;
    searcher_registry registry;
    forward_engine engine;

private:
    struct due_result
    {
        time_point at;
        attempt_handle attempt = 0;
        attempt_outcome outcome = attempt_outcome::answered;
    };

    void send(
        attempt_handle attempt,
        request_handle request,
        const std::shared_ptr<searcher>& target,
        duration time_left) override;
    void abandon(attempt_handle attempt) override;
    void finish(request_handle request, forward_result&& result) override;
    void
    repeated(const forward_request&, const std::string&, bool hedge) override;
    void attempt_failed(
        const forward_request&, const searcher&, attempt_outcome) override;
    void searcher_added(const std::shared_ptr<searcher>&) override;
    void searcher_leaving(
        const std::shared_ptr<searcher>&, std::string_view) override;
    void deliver();

    std::vector<due_result> due_;
    std::map<request_handle, time_point> started_;
    request_handle last_request_ = 0;
};

} // namespace turmericlane::tests
