#pragma once

#include "../admission/request_admission.h"
#include "../admission/waiting_work.h"
#include "../attempts/extra_attempt_budget.h"
#include "../attempts/hedge_timing.h"
#include "../gather/answer_rule.h"
#include "../searchers/failure_exchange.h"
#include "../searchers/replica_selector.h"
#include "../searchers/searcher_availability.h"
#include "forward_request.h"
#include "open_request.h"
#include "request_state.h"

#include <turmericlane_decisions/timing/timer_heap.h>

namespace turmericlane
{

/** Settings of a forward_engine. */
struct forward_settings
{
    /** Data centre of this instance. */
    std::string data_centre;
    /** Seed of the random choice among replicas. */
    std::uint64_t seed = 0;
    extra_attempt_limits extra_attempts;
    /** Region of each data centre. */
    region_map regions;
    /** True if ranks share the room in front of services.
        @see room_control */
    bool shares_room = false;
    balance_settings balance;
    /** True if less urgent requests are refused before more urgent ones wait
       too long.
        @see rank_priority */
    bool yields_to_urgent = false;
    /** True if failures of searchers are shared with the peers. */
    bool exchanges_failures = false;
};

/** Receives events of requests, for logs and metrics. */
class forward_listener
{
public:
    virtual ~forward_listener() = default;

    /** A hedge or retry of a request was started.
        @param is_hedge  true if the earlier attempt is still running */
    virtual void extra_attempt_started(
        const forward_request& request,
        const std::string& service,
        bool is_hedge) = 0;

    /** An attempt ended without an answer, or with an error. */
    virtual void attempt_failed(
        const forward_request& request,
        const searcher& target,
        attempt_outcome outcome) = 0;
};

/** Handles requests from admission to their answer: selects searchers, hedges
    and retries within the budget, gathers the answers of shards, and decides
    when to answer.

    Decision code without input or output: it receives events and requests
    actions through forward_actions. Not thread-safe.

    @see forward_actions, searcher_registry
*/
class forward_engine
{
public:
    /** All references must outlive the engine. */
    forward_engine(
        const forward_settings& settings,
        const clock& time,
        const searcher_registry& searchers,
        forward_actions& actions,
        forward_listener& listener);

    /** Starts a request that arrived. forward_actions::finish() may be called
        before this returns. */
    void start(forward_request request);

    /** Ends a request whose caller has disconnected, and its attempts. It gets
        no answer. */
    void on_caller_left(request_handle id);

    /** Sets when this instance ends. From now on, requests that may not be
        answered before are refused. */
    void prepare_stop(time_point end_time);

    /** Ends all requests: gathered ones with enough parts are answered, those
        that have not run are refused, and the others fail. */
    void stop();

    /** Call when an attempt has ended. */
    void on_result(attempt_handle attempt, attempt_result&& result);

    /** Call when a searcher of a service may accept more requests than
        before. */
    void on_capacity_available(const std::string& service);

    /** Call when services have lost searchers that will not be back soon. The
        sub-requests that wait for a service without any searcher fail. */
    void on_searchers_lost();

    /** Sets for how long work waits for the processor at present. */
    void on_lag(duration lag);

    /** Sets the number of instances that share the budget of extra attempts.
        @see extra_attempt_budget::set_instances */
    void set_instances(double instances);

    /** Returns the share of each rank in the room of each service; empty where
        the room is not divided. */
    std::vector<std::pair<std::string, service_room::rank_share>> room_shares();

    /** Sets the number of live instances in the data centre of this one. */
    void set_local_instances(std::uint32_t instances)
    {
        traffic_.set_instances(instances);
    }

    /** Returns what changed in the shares that are sent to other data centres
        since the last call. */
    std::vector<balance_change> take_balance_changes()
    {
        return traffic_.take_changes();
    }

    /** Returns the failures of searchers that are shared with the peers; null
        where they are not. */
    failure_exchange* failures() noexcept
    {
        return failures_ ? &*failures_ : nullptr;
    }

    /** Call at or after next_wakeup(). */
    void on_timer();

    /** Returns when on_timer() must be called next; time_point::max() for
        never. */
    time_point next_wakeup() const
    {
        return timers_.first_due();
    }

    /** Returns the number of requests without an answer. */
    std::size_t in_flight() const noexcept
    {
        return requests_.size();
    }

    /** Returns the requests without an answer, the oldest first.
        @param max_count  largest number of requests */
    std::vector<open_request> open_requests(std::size_t max_count) const;

    /** Returns the number of attempts in flight. */
    std::size_t attempts_in_flight() const noexcept
    {
        return attempts_.size();
    }

private:
    struct attempt_state
    {
        request_handle request = 0;
        std::size_t part_index = 0;
        std::shared_ptr<searcher> target;
        hedge_timing* timing = nullptr;
        time_point sent_time;
    };

    struct timer
    {
        request_handle request = 0;
        attempt_handle attempt = 0;
    };

    /** Finishes a request that is not admitted.
        @param service  service of the request; null if it is gathered
        @returns true if the request was refused */
    bool try_refuse(const forward_request& request, const std::string* service);
    /** True if the request can be answered even if one more part fails. */
    bool is_part_dispensable(const request_state& state) const;
    /** True if a searcher that may serve the sub-request is usable now. */
    bool is_usable(const request_state& state, const request_part& part) const;
    /** Returns how long a sub-request may wait for a searcher that wants no
        requests at present. */
    time_point latest_start(const request_state& state) const;
    /** True if no searcher of the service wants a request before it is too late
        for the sub-request. */
    bool
    is_unserved(const request_state& state, const request_part& part) const;
    void dispatch(request_state& state, std::size_t part_index);
    /** Selects a searcher for a sub-request; one that was tried before if there
        is no other. */
    replica_selector::selection
    select_searcher(const request_state& state, const request_part& part);
    void send(
        request_state& state,
        std::size_t part_index,
        const std::shared_ptr<searcher>& target);
    bool allows_extra_attempt(
        const request_state& state, const request_part& part) const;
    void retry(
        request_state& state, std::size_t part_index, attempt_outcome outcome);
    void handle_result(
        request_state& state, std::size_t part_index, attempt_result&&);
    void fail_part(request_state& state, std::size_t part_index);
    void hedge(request_state& state, std::size_t part_index);
    void check_request(request_handle id);
    void check_parts(request_state& state);
    void schedule_check(request_state& state);
    void abandon_attempt(attempt_handle id);
    /** Finishes the request if its result is decided.
        @returns true if it has ended and its state was destroyed */
    bool try_finish(request_state& state);
    void finish(request_state& state, forward_failure failure);
    void release_attempts(const request_state& state, bool is_immediate);
    /** Sends the waiting sub-requests of a service for which there is a
        searcher. */
    void dispatch_waiting(const std::string& service);
    /** Sends them in the order of their ranks and arrival. */
    void dispatch_in_order(const std::string& service);
    /** Sets timers for those that stay, if a searcher wants requests again at a
        known time. */
    void schedule_waiting(const std::string& service);
    /** Sends waiting sub-requests in the order of room_control. */
    void dispatch_by_share(const std::string& service);
    /** Sends the first sub-request of a queue for which there is a searcher,
        preferably one that can still meet its target.
        @returns true if one was sent */
    bool dispatch_next(std::deque<waiting_part>& parts, bool& is_full);
    /** Refuses waiting requests that are not expected to meet their target. */
    void drop_unservable(const std::string& service);
    /** The same for the services for which a request waits. May end it. */
    void drop_waiting(const request_state& state);
    /** Refuses a request of which nothing has run. */
    void drop(request_handle id);
    waiting_part
    make_waiting_part(const request_state& state, std::size_t part_index) const;
    bool is_waiting(const waiting_part& part) const;
    /** Returns until when a request may be refused where ranks share the
        room. */
    static time_point refusal_end(const request_state& state);
    /** True if a request may still be refused. */
    bool may_refuse(const request_state& state) const;
    /** Appends the running attempts of a sub-request, or its state if there
        are none. */
    void list_attempts(
        const request_part& part, std::vector<open_attempt>& result) const;

    const clock& clock_;
    const searcher_registry& searchers_;
    forward_actions& actions_;
    forward_listener& listener_;
    data_centre_traffic traffic_;
    replica_selector selector_;
    searcher_availability availability_;
    extra_attempt_budget budget_;
    /** Only where enabled. */
    std::optional<failure_exchange> failures_;
    waiting_work queues_;
    request_admission admission_;
    std::unordered_map<std::string, hedge_timing> timings_;
    std::unordered_map<request_handle, request_state> requests_;
    std::unordered_map<attempt_handle, attempt_state> attempts_;
    timer_heap<timer> timers_;
    attempt_handle last_attempt_ = 0;
};

} // namespace turmericlane
