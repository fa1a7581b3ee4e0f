#pragma once

#include "booking_caller.h"
#include "search_caller.h"

#include <atomic>

namespace turmericlane::load
{

/** Sends the planned requests from a bounded number of threads and verifies
    their outcomes.

    Requests are sent when they are due, whether or not earlier ones have ended,
    as long as a thread is free.
*/
class load_run
{
public:
    /** Prepares a run. The settings and the bundle must outlive it. */
    load_run(const load_options& settings, const bundle& configuration);

    /** Sends the requests, waits for all replies and verifies the outcomes.
        @returns false if the control port did not answer */
    bool run();

    /** Returns the report, which is complete after run(). */
    const load_report& report() const noexcept;

private:
    void send_arrivals(std::chrono::steady_clock::time_point start);

    const load_options& settings_;
    std::vector<arrival> plan_;
    answer_checker checker_;
    client_pool pool_;
    run_verifier verifier_;
    load_report report_;
    search_caller search_caller_;
    booking_caller booking_caller_;
    std::vector<std::unique_ptr<instance_cache>> instance_caches_;
    std::atomic<std::size_t> next_arrival_{0};
};

} // namespace turmericlane::load
