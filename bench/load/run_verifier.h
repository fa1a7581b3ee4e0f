#pragma once

#include "client_pool.h"
#include "violation.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace turmericlane::load
{

/** Compares the replies to callers with the requests that the backend stand-ins
    ran.

    Callers record their replies during the run; verify() then reads the control
    port. Thread-safe.
*/
class run_verifier
{
public:
    /** Records a search that was refused with not_run and of which no attempt
        was lost. */
    void record_refused_search(std::string query);

    /** Records the replies to a booking.
        @param key       unique key of the booking
        @param verdicts  verdicts of the replies; "lost" for a missing one */
    void record_booking(std::string key, std::vector<std::string> verdicts);

    /** Result of the comparison. */
    struct verification
    {
        std::vector<violation_record> violations;
        std::uint64_t executed_bookings = 0;
    };

    /** Compares the records with the control port of the stand-ins.
        @returns nothing if the control port did not answer */
    std::optional<verification>
    verify(client_pool& pool, const endpoint& control) const;

private:
    bool verify_searches(
        client_pool& pool, const endpoint& control, verification& result) const;
    bool verify_bookings(
        client_pool& pool, const endpoint& control, verification& result) const;

    mutable std::mutex mutex_;
    std::vector<std::string> refused_searches_;
    std::map<std::string, std::vector<std::string>> bookings_;
};

} // namespace turmericlane::load
