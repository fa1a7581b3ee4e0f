#pragma once

#include "answer_checker.h"
#include "instance_cache.h"
#include "load_report.h"
#include "run_verifier.h"

namespace turmericlane::load
{

/** Sends searches as a caller does: to an instance of its list, and to another
    one if no reply came, until the deadline. Thread-safe.

    @see booking_caller
*/
class search_caller
{
public:
    /** The arguments must outlive this object. */
    search_caller(
        client_pool& pool,
        const answer_checker& checker,
        run_verifier& verifier,
        load_report& report);

    /** Sends one search, waits for its outcome and reports it.
        @param due_time  planned start, from which the latency counts */
    void send(
        const arrival& request,
        instance_cache& instances,
        std::chrono::steady_clock::time_point due_time);

private:
    client_pool& pool_;
    const answer_checker& checker_;
    run_verifier& verifier_;
    load_report& report_;
};

} // namespace turmericlane::load
