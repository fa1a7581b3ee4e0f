#pragma once

#include "../http/protocol_names.h"

#include <turmericlane_core/turmericlane_core.h>
#include <turmericlane_forwarding/turmericlane_forwarding.h>
#include <turmericlane_state/turmericlane_state.h>

#include <string>
#include <vector>

namespace turmericlane
{

/** What a gateway has to know when it starts. */
struct gateway_settings
{
    /** Name of this instance in logs. */
    std::string name;
    std::string data_centre;
    /** Where callers connect, and where peers send datagrams. */
    endpoint where;
    protocol_names names;
    extra_attempt_limits repeats;
    /** Processor share of this instance, in cores. */
    double processor_cores = 1.0;
    /** Calls that all instances together may make to the store. */
    double store_calls_per_second = 1000.0;
    /** From the first SIGTERM to the end of the process at most. */
    duration shutdown_time = std::chrono::seconds(5);
    /** Random, another one at each start. */
    std::uint64_t nonce = 0;
};

/** This instance as its peers know it. */
member self_of(const gateway_settings& settings);

/** The phases of its shutdown. */
shutdown_limits limits_of(const gateway_settings& settings);

} // namespace turmericlane
