#pragma once

#include "fleet.h"

namespace turmericlane
{

/** Flags that searches and bookings share. */
struct request_settings
{
    /** Declares the flags. The first rank is the default. */
    request_settings(settings& to, std::vector<std::string> ranks);

    /** Bound on the reply: the server answers at the deadline. */
    std::chrono::milliseconds reply_timeout() const;

    /** Adds rank and deadline to the body of a request. */
    void add_to(nlohmann::json& body) const;

    fleet_settings fleet;
    choice_setting& rank;
    millisecond_setting& deadline;
};

/** Prints an answer as JSON, or its hits as a table and its other fields as
    lines. */
void print_answer(nlohmann::json body, bool as_json);

} // namespace turmericlane
