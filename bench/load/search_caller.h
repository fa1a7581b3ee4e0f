#pragma once

#include "answer_check.h"
#include "instance_view.h"
#include "load_report.h"
#include "run_judge.h"

namespace turmericlane::load
{

/** Sends searches as a caller does: to the instances of its view, again to
    another instance if one could not be reached or broke off, until the
    deadline. Any thread may call.

    @see booking_caller
*/
class search_caller
{
public:
    /** Everything given outlives the caller. */
    search_caller(
        client_pool& pool,
        const answer_check& check,
        run_judge& judge,
        load_report& report);

    /** Sends one search, waits for how it ends and reports it.
        @param began  when it was due; its latency counts from there */
    void send(
        const arrival& asked,
        instance_view& view,
        std::chrono::steady_clock::time_point began);

private:
    client_pool& pool_;
    const answer_check& check_;
    run_judge& judge_;
    load_report& report_;
};

} // namespace turmericlane::load
