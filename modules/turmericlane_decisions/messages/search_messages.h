#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>
#include <string>
#include <vector>

namespace turmericlane
{

/** Snapshots that a searcher serves at this moment, both ends included. Both
    are zero if unknown. */
struct snapshot_range
{
    std::uint64_t oldest = 0;
    std::uint64_t newest = 0;
};

/** One document of an answer. */
struct hit
{
    std::string document;
    double score = 0.0;
};

/** A checked search of a caller. */
struct search_request
{
    /** The caller's own id; it is returned with the answer. */
    std::string caller_request;
    /** Ids of the services to search; not empty, without repetition. */
    std::vector<std::uint32_t> services;
    std::string query;
    rank work = rank::ordinary;
    /** When the answer must be ready to leave this instance. */
    time_point deadline;
    /** Hits to return at most. */
    std::uint32_t limit = 10;
};

/** What the entry asks of one owner: the same query for many groups. */
struct search_batch
{
    query_id id;
    /** Counts the times that the entry asked for these groups, from 1. */
    std::uint32_t attempt = 1;
    rank work = rank::ordinary;
    /** Time that is left at the moment of sending. */
    duration time_left{};
    /** Snapshot to answer from; 0 for the newest. */
    std::uint64_t snapshot = 0;
    std::uint64_t bundle_version = 0;
    std::uint32_t limit = 10;
    std::string query;
    /** A group with the epoch of its service's partition map. */
    struct part
    {
        group_id group;
        std::uint64_t epoch = 0;
    };
    std::vector<part> parts;
};

/** The owner's answer for one group. */
struct shard_reply
{
    query_id id;
    std::uint32_t attempt = 1;
    group_id group;
    /** ran: hits hold the group's answer. */
    verdict state;
    std::uint64_t snapshot = 0;
    std::uint64_t epoch = 0;
    snapshot_range served;
    /** Time that the part waited for a slot. */
    duration queue_delay{};
    /** Time from the send of the winning attempt to its reply. */
    duration service_time{};
    /** Requests that were sent to backend servers for this part. */
    std::uint32_t sub_requests_sent = 0;
    std::vector<hit> hits;
};

/** Groups of one service that contributed to an answer. */
struct service_coverage
{
    std::uint32_t service = 0;
    std::uint32_t answered = 0;
    /** Groups in the pinned partition map. */
    std::uint32_t total = 0;
};

/** What the caller gets. */
struct search_answer
{
    query_id id;
    std::string caller_request;
    verdict state;
    std::uint64_t snapshot = 0;
    std::uint64_t bundle_version = 0;
    std::vector<service_coverage> coverage;
    /** Merged hits by descending score, then ascending document. */
    std::vector<hit> hits;
    std::uint32_t sub_requests_sent = 0;
    /** Most frequent reason of the groups that are missing. */
    reason missing = reason::none;

    /** Share of the groups of all requested services that answered, 0 to 1. */
    double overall_coverage() const noexcept;
};

/** A request to one backend server. */
struct backend_request
{
    query_id id;
    group_id group;
    searcher_id server = 0;
    std::uint64_t snapshot = 0;
    std::uint64_t epoch = 0;
    rank work = rank::ordinary;
    /** Time that is left at the moment of sending. */
    duration time_left{};
    std::uint32_t limit = 10;
    std::string query;
};

/** How a request to a backend server ended. */
enum class backend_status : std::uint8_t
{
    ok,
    /** The server refused without running it (shed). */
    shed,
    /** The server is about to leave and refused without running it. */
    draining,
    /** The server no longer, or not yet, serves that snapshot. */
    snapshot_gone,
    /** The server gave up at the deadline. */
    deadline,
    /** No connection; no byte was sent. */
    connect_failed,
    /** The connection broke after bytes were sent. */
    connection_lost,
    /** No reply in time. */
    timed_out,
    /** The reply could not be parsed. */
    bad_reply,
    cancelled
};

/** Reply of a backend server. */
struct backend_reply
{
    backend_status status = backend_status::ok;
    std::uint64_t snapshot = 0;
    std::uint64_t epoch = 0;
    snapshot_range served;
    std::vector<hit> hits;
};

/** What a backend server's load endpoint said. It may lag or mislead. */
struct load_report
{
    searcher_id server = 0;
    /** Utilisation that the server states, 0 to 1. */
    double load = 0.0;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    bool draining = false;
    snapshot_range served;
};

} // namespace turmericlane
