#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace turmericlane
{

/** Decides how long work may wait before less urgent requests are refused, so
    that more urgent ones still meet their targets.

    All requests wait for the same processor, and at searchers that serve them
   in the order of their arrival. A limit that only follows from a request's own
    target lets requests with a long target in until those with a short one are
    all late.

    A rank that is admitted much less often than all requests does not yield, so
    that none gets nothing while a more urgent one alone fills the service.

    Made for bursts of several seconds that ask for more than an instance or its
    searchers can do, of requests with different ranks, targets and numbers of
    sub-requests.

    Decision code without input or output. Not thread-safe.

    @see admission_control
*/
class rank_priority
{
public:
    /** What is known of a request. */
    struct request_terms
    {
        /** Its rank; 0 is the most urgent one. */
        std::uint32_t rank = 0;
        /** Number of its sub-requests, which its work grows with. */
        std::size_t sub_requests = 1;
        /** Wait up to which it is admitted by its own target. */
        duration own_max_wait{};
    };

    /** Call when a request arrives, before it is decided. */
    void on_request(const request_terms& terms, time_point now);

    /** Call when a request is admitted. */
    void on_admitted(std::uint32_t rank, time_point now);

    /** Returns the time after which a refused request may be sent again: once
        the present wait is over, and spread over the length of its target, so
        that the refused ones don't return together. It depends on the label
        only, so that all instances tell a caller the same time.
        @param label   the caller's id of the request
        @param wait    expected wait at present
        @param target  of the request */
    static duration
    retry_after(std::string_view label, duration wait, duration target);

    /** Returns the wait up to which a request is admitted. */
    duration max_wait(const request_terms& terms, time_point now) const;

private:
    /** The least tolerant of the recent requests of a rank. */
    struct rank_need
    {
        duration max_wait{};
        std::size_t sub_requests = 1;
        time_point time;
        /** Sums of requests that decay with time. */
        double asked = 0.0;
        double admitted = 0.0;
    };

    /** True if a rank is admitted much less often than all. */
    bool is_starved(std::uint32_t rank) const;
    void decay(time_point now);

    time_point decay_time_{};
    std::map<std::uint32_t, rank_need> needs_;
};

} // namespace turmericlane
