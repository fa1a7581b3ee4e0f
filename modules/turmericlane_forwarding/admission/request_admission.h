#pragma once

#include "../attempts/hedge_timing.h"
#include "../engine/forward_request.h"
#include "../searchers/searcher_availability.h"
#include "admission_control.h"
#include "rank_priority.h"
#include "room_control.h"
#include "waiting_work.h"

#include <optional>

namespace turmericlane
{

/** Why a request is refused, and when its caller may send it again. */
struct request_refusal
{
    forward_failure failure = forward_failure::overloaded;
    /** Zero if other instances can take the request at once. */
    duration retry_after{};
};

/** Decides at its arrival whether a request is refused: because too few of its
    searchers are usable, because this instance ends before the answer, or
    because the waiting work would make the answer late.

    Decision code without input or output. Not thread-safe.

    @see forward_engine, admission_control
*/
class request_admission
{
public:
    /** All references must outlive the object. */
    request_admission(
        const clock& time,
        searcher_availability& availability,
        const waiting_work& work);

    /** Divides the room in front of services among ranks from now on. */
    void enable_room_control();

    /** True if enable_room_control() was called. */
    bool is_room_controlled() const noexcept
    {
        return room_.has_value();
    }

    /** Returns how the room in front of services is divided. Only while
        is_room_controlled(). */
    room_control& room()
    {
        return *room_;
    }

    /** Call when an admitted request of which nothing has run is refused after
        all. Only while is_room_controlled().
        @returns the time after which it may be sent again */
    duration on_dropped(
        const forward_request& request,
        const std::string* service,
        const hedge_timing& timing);

    /** Returns the sub-requests of a route that a service is expected to start
        per second; infinite if not known. */
    double throughput(
        const route& matched_route,
        const std::string& service,
        const hedge_timing& timing) const;

    /** Lets less urgent requests yield to more urgent ones from now on. */
    void enable_rank_priority()
    {
        rank_priority_.emplace();
    }

    /** Sets when this instance ends. */
    void prepare_stop(time_point end_time) noexcept
    {
        end_time_ = end_time;
    }

    /** Sets for how long work waits for the processor at present. */
    void on_lag(duration lag) noexcept
    {
        lag_ = lag;
    }

    /** Returns why a request that has arrived is refused; nothing if it is
        admitted.
        @param service    service of the request; null if it is gathered
        @param timing     latencies of its route
        @param in_flight  requests without an answer */
    std::optional<request_refusal> decide(
        const forward_request& request,
        const std::string* service,
        const hedge_timing& timing,
        std::size_t in_flight);

private:
    duration expected_wait(
        const route& matched_route,
        const std::string& service,
        const hedge_timing& timing) const;
    /** The same for a request; the longest one over its sub-requests. */
    duration expected_wait(
        const route& matched_route,
        const std::string* service,
        const hedge_timing& timing) const;
    /** Returns the expected wait at the searchers of a request, until as many
       of its sub-requests run as its coverage needs. */
    duration searcher_wait(
        const route& matched_route,
        const std::string* service,
        const hedge_timing& timing) const;
    /** The same for one service, at its least loaded searcher. */
    duration searcher_wait(
        const route& matched_route,
        const std::string& service,
        const hedge_timing& timing) const;
    room_control::request_terms make_terms(
        const forward_request& request,
        const std::string* service,
        const hedge_timing& timing) const;
    bool has_searchers(const route& matched_route, const std::string* service);
    /** True if the request is expected to be answered before this instance
        ends. */
    bool is_answered_before_end(
        const forward_request& request,
        const instance_load& load,
        const hedge_timing& timing) const;

    const clock& clock_;
    searcher_availability& availability_;
    const waiting_work& work_;
    admission_control control_;
    /** Only where enabled. */
    std::optional<room_control> room_;
    /** Only where enabled. */
    std::optional<rank_priority> rank_priority_;
    /** When this instance ends, if it is known. */
    time_point end_time_ = time_point::max();
    duration lag_{};
};

} // namespace turmericlane
