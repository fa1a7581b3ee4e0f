#pragma once

#include "booking_caller.h"
#include "search_caller.h"

#include <atomic>

namespace turmericlane::load
{

/** Sends the whole stream from a bounded number of threads and judges it.

    Requests begin when they are due, whether or not earlier ones have ended,
    as long as a thread is free.
*/
class load_run
{
public:
    /** Prepares a run; the settings and the bundle outlive it. */
    load_run(const load_options& settings, const bundle& from);

    /** Sends the stream, waits for all replies and judges.
        @returns false if the judge could not be asked */
    bool run();

    /** How it went. */
    const load_report& report() const noexcept;

private:
    void work(std::chrono::steady_clock::time_point start);

    const load_options& settings_;
    std::vector<arrival> plan_;
    answer_check check_;
    client_pool pool_;
    run_judge judge_;
    load_report report_;
    search_caller searches_;
    booking_caller bookings_;
    std::vector<std::unique_ptr<instance_view>> views_;
    std::atomic<std::size_t> next_{0};
};

} // namespace turmericlane::load
