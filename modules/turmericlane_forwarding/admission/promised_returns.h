#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace turmericlane
{

/** The callers that were refused and told when to come back, by the id of their
    request.

    Room is promised to a refused request only as far as there will be some. The
    time within the window is a function of the request's id, so it spreads the
    returns and is the same at every instance. Records are limited in number and
    age; a request without a record is a new one.

    Decision code without input or output. Not thread-safe.

    @see room_control
*/
class promised_returns
{
public:
    /** What an arriving request is. */
    enum class arrival : std::uint8_t
    {
        /** It was not refused here lately. */
        first,
        /** It was refused and comes back before it was told to. */
        early,
        /** It comes back as it was told. */
        due
    };

    /** Returns what an arriving request is.
        @param label  the caller's id for the request; may be empty */
    arrival classify(std::string_view label, time_point now);

    /** Call when a request is admitted. */
    void on_admitted(std::string_view label);

    /** Decides when a refused request is to come back. A request that was
        refused before keeps its time.
        @param label       the caller's id for the request
        @param kind        name of its route
        @param first       earliest time of return
        @param last        latest time at which its caller comes back
        @param max_rate    returns per second for which there will be room
        @returns the time until the return; a time after the latest one if no
                 room can be promised before */
    duration promise(
        std::string_view label,
        const std::string& kind,
        duration first,
        duration last,
        double max_rate,
        time_point now);

    /** Returns how many requests of a kind were told to come back until a
        time and are still expected. */
    double
    expected(const std::string& kind, time_point until, time_point now) const;

private:
    struct record
    {
        time_point due_time;
        std::string kind;
        /** True if room is kept for it. */
        bool is_promised = false;
    };

    void forget_old(time_point now);

    std::unordered_map<std::uint64_t, record> records_;
    /** Records in the order in which they were made. */
    std::deque<std::pair<time_point, std::uint64_t>> order_;
    /** Number of promises by kind and slice of time. */
    std::unordered_map<
        std::string,
        std::unordered_map<std::int64_t, std::uint32_t>>
        slices_;
    /** Slices before it have been removed. */
    std::int64_t oldest_slice_ = 0;
};

} // namespace turmericlane
