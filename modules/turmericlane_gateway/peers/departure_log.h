#pragma once

#include <turmericlane_core/turmericlane_core.h>
#include <turmericlane_wire/turmericlane_wire.h>

#include <deque>
#include <vector>

namespace turmericlane
{

/** Searchers that lately said that they are leaving, for instances that start
    meanwhile: their entries may still be those of searchers in use.

    @see peer_channel::report_departure
*/
class departure_log
{
public:
    /** Adds a departure. */
    void add(departure_message departure, time_point now);

    /** Returns the departures that entries may not show yet. */
    std::vector<departure_message> recent(time_point now);

private:
    struct record
    {
        time_point time;
        departure_message departure;
    };

    std::deque<record> records_;
};

} // namespace turmericlane
