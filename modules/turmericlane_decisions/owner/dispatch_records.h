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
    /** Handles of the sub-requests whose retry or hedge waits for a slot. */
    std::vector<std::uint64_t> waiting_extra_attempts;
    std::array<std::uint32_t, rank_count> attempts_in_flight{};
};

/** The sub-requests that one entry sent in one message. */
struct batch_record
{
    ordinal entry = 0;
    query_id id;
    std::uint32_t attempt = 0;
    rank request_rank = rank::ordinary;
    time_point deadline;
    std::uint64_t snapshot = 0;
    std::uint32_t limit = 0;
    std::string query;
    /** Handles of the sub-requests, answered ones included. */
    std::vector<std::uint64_t> sub_requests;
    /** Unanswered sub-requests, and one more while the batch is retained. */
    std::size_t remaining_count = 0;
    /** Handle of the next batch of the same query, or 0. */
    std::uint64_t next_batch = 0;
};

/** A query to one group, from its arrival to its answer. */
struct sub_request_record
{
    /** Largest number of attempts for one sub-request. */
    static constexpr std::size_t max_attempts = 6;

    /** What a sub-request waits for. */
    enum class wait_target : std::uint8_t
    {
        nothing,
        first_slot,
        retry_slot,
        hedge_slot
    };

    std::uint64_t batch_handle = 0;
    group_state* group = nullptr;
    std::uint64_t epoch = 0;
    time_point arrival_time;
    duration queue_delay{};
    wait_target wait = wait_target::nothing;
    bool may_have_run = false;
    std::uint8_t hedge_count = 0;
    reason last_failure = reason::none;
    /** When the last attempt was sent. */
    time_point last_attempt_time;
    /** Due time of the sub-request's only valid timer. */
    time_point timer_due = time_point::max();
    std::uint32_t attempts_sent = 0;
    /** Server of each attempt; the first attempts_sent elements are valid. */
    std::array<searcher_id, max_attempts> attempt_servers{};
    /** Attempts in flight that can still give the answer. */
    std::array<attempt_id, max_attempts> open_attempts{};
    std::uint32_t open_attempt_count = 0;

    /** Returns the servers that attempts were sent to. */
    std::span<const searcher_id> tried_servers() const
    {
        return std::span(attempt_servers).first(attempts_sent);
    }
};

/** One attempt at a backend server. */
struct attempt_record
{
    /** Handle of the sub-request; 0 if the attempt was given up. */
    std::uint64_t sub_request = 0;
    group_state* group = nullptr;
    backend_server* server = nullptr;
    rank request_rank = rank::ordinary;
    time_point start_time;
    /** When the attempt was given up; zero if it wasn't. */
    time_point give_up_time{};
    /** Slot time that was charged to the rank in advance. */
    duration charged_slot_time{};
    bool is_probe = false;
};

} // namespace turmericlane
