#pragma once

#include "../engine/forward_request.h"
#include "promised_returns.h"
#include "service_room.h"
#include "waiting_work.h"

#include <functional>
#include <optional>
#include <unordered_map>

namespace turmericlane
{

/** Decides which requests get the room in front of services while there is too
    little of it: who is admitted, which waiting sub-request starts next, which
    ones are dropped, and when refused callers are to come back.

    A request is refused at its arrival if the expected wait would make it miss
    its target. A waiting one is dropped for the same reason, the newest first,
    but only within a quarter of its target; after that it is served if it can
    be.

    Made for bursts in which kinds of request with different ranks and targets
    compete for a service and part of the callers retries at once.

    Decision code without input or output. Not thread-safe.

    @see request_admission, service_room, promised_returns
*/
class room_control
{
public:
    /** Room in front of one service that a request needs. */
    struct demand
    {
        std::string service;
        /** Sub-requests that the service starts per second; infinite if not
            known. */
        double throughput = 0.0;
    };

    /** What is known of a request when it is decided. */
    struct request_terms
    {
        const forward_request* request = nullptr;
        std::vector<demand> demands;
        /** How many of the demands have to be met; the coverage of a gathered
            request may allow fewer than all. */
        std::size_t needed_demands = 1;
        /** Time from its arrival within which its answer must be sent. */
        duration target_time{};
        /** Time within which it is mostly answered if it need not wait; zero if
            not known. */
        duration work_time{};
        /** How long work waits for the processor at present. */
        duration lag{};
    };

    /** @param time  must outlive the object
        @param work  must outlive the object */
    room_control(const clock& time, const waiting_work& work);

    /** Decides about a request that has arrived.
        @returns the time after which a refused request may be sent again;
                 nothing if it is admitted */
    std::optional<duration> try_refuse(const request_terms& terms);

    /** Call when an admitted request is refused after all.
        @returns the time after which it may be sent again */
    duration on_dropped(const request_terms& terms);

    /** Call when the first attempt of a sub-request is sent. */
    void on_started(const std::string& service, std::uint32_t rank);

    /** Returns the rank whose sub-request gets the next place in a service.
        @param waiting_ranks  not empty, the most urgent first */
    std::uint32_t next_rank(
        const std::string& service,
        std::span<const std::uint32_t> waiting_ranks);

    /** Returns the sub-requests of a rank that wait for a service, may still be
        refused and are not expected to meet their target, the newest first.
        @param throughput  sub-requests that the service starts per second */
    std::vector<waiting_part> find_unservable(
        const std::string& service, std::uint32_t rank, double throughput);

    /** Returns the shares of the ranks by service, for metrics. */
    std::vector<std::pair<std::string, service_room::rank_share>> shares();

private:
    service_room::waiting_counts
    count_waiting(const std::string& service) const;
    /** Returns the wait until enough sub-requests of a request start.
        @param reserved  sub-requests of its kind for which room is kept */
    duration expected_wait(const request_terms& terms, double reserved);
    bool is_ahead_of_more_urgent(const request_terms& terms);
    duration promise_return(const request_terms& terms, duration wait);

    const clock& clock_;
    const waiting_work& work_;
    std::unordered_map<std::string, service_room> rooms_;
    promised_returns returns_;
};

} // namespace turmericlane
