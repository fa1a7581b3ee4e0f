#pragma once

#include "../messages/search_messages.h"
#include "latency_window.h"
#include "owner_actions.h"
#include "rank_queue.h"
#include "replica_set.h"
#include "slot_map.h"

#include <array>
#include <vector>

namespace turmericlane
{

/** Working state of one group at its owner.

    @see dispatch_engine, group_registry
*/
struct group_state
{
    group_id id;
    std::uint64_t epoch = 0;
    /** Slots of all servers that are not leaving. */
    std::uint32_t slots = 0;
    rank_queue queue;
    replica_set replicas;
    latency_window latencies;
    /** Retries and hedges that wait for room, as part handles. */
    std::vector<std::uint64_t> extras;
    std::array<std::uint32_t, rank_count> in_flight{};
};

/** What one entry asked for in one message. */
struct batch_record
{
    ordinal entry = 0;
    query_id id;
    std::uint32_t attempt = 0;
    rank work = rank::ordinary;
    time_point deadline;
    std::uint64_t snapshot = 0;
    std::uint32_t limit = 0;
    std::string query;
    /** Handles of the parts, also of those that are done. */
    std::vector<std::uint64_t> parts;
    std::size_t parts_left = 0;
    /** Next batch of the same query, or 0. */
    std::uint64_t next = 0;
};

/** One group of a batch, from arrival to its answer. */
struct sub_request_record
{
    /** Requests that may be sent for one part. */
    static constexpr std::size_t max_attempts = 6;

    /** What a part waits for. */
    enum class waiting : std::uint8_t
    {
        nothing,
        first_slot,
        retry_slot,
        hedge_slot
    };

    std::uint64_t batch = 0;
    group_state* group = nullptr;
    std::uint64_t epoch = 0;
    time_point arrived;
    duration queue_delay{};
    waiting waits = waiting::nothing;
    bool may_have_run = false;
    std::uint8_t hedges = 0;
    reason why = reason::none;
    /** When the last attempt was sent. */
    time_point last_started;
    /** Due time of the part's only timer. */
    time_point timer = time_point::max();
    std::uint32_t sent = 0;
    /** Servers that were used, sent elements. */
    std::array<searcher_id, max_attempts> tried{};
    /** Attempts in flight that can still give the answer. */
    std::array<attempt_id, max_attempts> open{};
    std::uint32_t open_count = 0;

    /** The servers that were used. */
    std::span<const searcher_id> used() const
    {
        return std::span(tried).first(sent);
    }
};

/** One request to a backend server. */
struct attempt_record
{
    /** Handle of the part; 0 once the part needs no answer of it. */
    std::uint64_t part = 0;
    group_state* group = nullptr;
    backend_server* server = nullptr;
    rank work = rank::ordinary;
    time_point started;
    /** When the part stopped to wait for it; zero before. */
    time_point given_up{};
    /** Slot time that was charged to the rank in advance. */
    duration charged{};
    bool probe = false;
};

} // namespace turmericlane
