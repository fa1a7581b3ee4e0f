#pragma once

#include "load_options.h"

#include <turmericlane_bundle/turmericlane_bundle.h>

namespace turmericlane::load
{

/** What a booking does after its first answer. */
enum class booking_mode
{
    /** Nothing. */
    once,
    /** It is sent again through the same instance. */
    repeat,
    /** It is sent again through another instance. */
    repeat_elsewhere,
    /** It is sent at the same time through another instance. */
    concurrent,
    /** Its ticket is sent again with another payload. */
    other_payload
};

/** Number of booking modes; they take turns. */
inline constexpr std::uint64_t booking_mode_count = 5;

/** One request of the stream. */
struct arrival
{
    /** Time since the start of the stream. */
    std::chrono::nanoseconds at{0};
    rank work = rank::ordinary;
    bool booking = false;
    booking_mode mode = booking_mode::once;
    /** Services of a search; the one service of a booking. */
    std::vector<std::string> services;
    std::chrono::milliseconds deadline{0};
    /** Unique text of a search; unique key of a booking. */
    std::string text;
    /** Caller that sends it. */
    std::size_t caller = 0;
};

/** Returns the stream: Poisson arrivals in order of time. Urgent searches
    touch the bookable services of the bundle, the others all services. */
std::vector<arrival>
plan_arrivals(const load_options& settings, const bundle& from);

} // namespace turmericlane::load
