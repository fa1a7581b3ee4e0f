#pragma once

#include "../http/protocol_names.h"

#include <turmericlane_core/turmericlane_core.h>
#include <turmericlane_forwarding/turmericlane_forwarding.h>
#include <turmericlane_state/turmericlane_state.h>

#include <string>
#include <vector>

namespace turmericlane
{

/** Settings of a gateway, fixed at its start. */
struct gateway_settings
{
    /** Name of this instance in logs. */
    std::string name;
    std::string data_centre;
    /** Region of each data centre; empty if none has a region. */
    region_map regions;
    /** True if ranks share the room in front of services.
        @see room_control */
    bool shares_room = false;
    /** Address of this instance, with the port for callers and the one for
        peers. */
    endpoint local_endpoint;
    protocol_names names;
    extra_attempt_limits repeats;
    balance_settings balance;
    /** True if less urgent requests are refused before more urgent ones wait
       too long.
        @see rank_priority */
    bool yields_to_urgent = false;
    /** True if failures of searchers are shared with the peers.
        @see failure_exchange */
    bool exchanges_failures = false;
    /** Processor share of this instance, in cores. */
    double processor_cores = 1.0;
    /** Memory that the process may use, in bytes; 0 if it is not limited. */
    std::uint64_t memory_bytes = 0;
    /** File descriptors that the process may use for sockets; 0 if they are not
        limited. */
    std::size_t max_sockets = 0;
    /** Memory for callers' requests and answers, in bytes; 0 for the default, a
        share of the process's memory. */
    std::uint64_t caller_memory_bytes = 0;
    /** Connections of callers, at most; 0 for the default, half of the sockets.
     */
    std::size_t max_caller_connections = 0;
    /** Rate of calls to the store that all instances together may make. */
    double store_calls_per_second = 1000.0;
    /** Time within which a change in the store has to be in force on each
        instance, from its acknowledgement. */
    duration change_limit = std::chrono::seconds(3);
    /** Longest time from the first SIGTERM to the end of the process. */
    duration shutdown_timeout = std::chrono::seconds(5);
    /** Random number that identifies this process; a new one at each start. */
    std::uint64_t nonce = 0;
};

/** Returns this instance's entry in the membership table. */
member make_own_member(const gateway_settings& settings);

/** Returns the limit of the memory for answers that are being received, in
    bytes. */
std::size_t max_response_bytes(const gateway_settings& settings);

/** Returns the limit of the memory that is held for callers, in bytes. */
std::size_t max_caller_bytes(const gateway_settings& settings);

/** Returns the limit of callers' connections. The other sockets are for
    searchers, the store and peers. */
std::size_t max_caller_connections(const gateway_settings& settings);

/** Returns the limit of the connections to each API that the instance answers
    itself. */
std::size_t max_api_connections(const gateway_settings& settings);

/** Returns the durations of the shutdown phases. They end before the shutdown
    does, by last_answers_time. */
shutdown_limits make_shutdown_limits(const gateway_settings& settings);

/** Returns the time at the end of the shutdown in which the answers to requests
    that could not be finished are written. */
duration last_answers_time(const gateway_settings& settings);

} // namespace turmericlane
