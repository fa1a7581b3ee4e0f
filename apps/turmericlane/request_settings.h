#pragma once

#include "fleet.h"

namespace turmericlane
{

/** Flags that searches and bookings share. */
struct request_settings
{
    /** Declares the flags. The first rank is the default. */
    request_settings(settings& flags, std::vector<std::string> ranks);

    /** Returns the time limit for the reply. It includes the time until the
        deadline, because an instance may answer as late as that. */
    std::chrono::milliseconds reply_timeout() const;

    /** Adds the rank and, if one is set, the deadline to the body of a
        request. */
    void add_to(nlohmann::json& body) const;

    fleet_settings fleet;
    choice_setting& rank;
    millisecond_setting& deadline;
};

/** Prints an answer as JSON, or its hits as a table and each other field on a
    line. */
void print_answer(nlohmann::json body, bool as_json);

} // namespace turmericlane
