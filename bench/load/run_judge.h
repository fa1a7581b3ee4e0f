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

/** Compares what callers were told with what the backend stand-ins ran.

    Callers note what they were told during the run; judge then asks the
    control port. Any thread may note.
*/
class run_judge
{
public:
    /** Notes a search that was refused with not_run, and of which no attempt
        was lost. */
    void note_refused_search(std::string query);

    /** Notes a booking with its replies.
        @param key       unique text in the booking, from its plan
        @param verdicts  verdicts of the replies; "lost" for a missing one */
    void note_booking(std::string key, std::vector<std::string> verdicts);

    /** Result of the comparison. */
    struct judgement
    {
        std::vector<violation_record> violations;
        std::uint64_t executed_bookings = 0;
    };

    /** Asks the control port.
        @returns nothing if it did not answer */
    std::optional<judgement>
    judge(client_pool& pool, const endpoint& control) const;

private:
    bool judge_searches(
        client_pool& pool, const endpoint& control, judgement& made) const;
    bool judge_bookings(
        client_pool& pool, const endpoint& control, judgement& made) const;

    mutable std::mutex mutex_;
    std::vector<std::string> refused_searches_;
    std::map<std::string, std::vector<std::string>> bookings_;
};

} // namespace turmericlane::load
