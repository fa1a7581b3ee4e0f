#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>
#include <string>
#include <vector>

namespace turmericlane
{

/** The snapshots that a searcher serves now, both ends included. Both are zero
    if unknown. */
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

/** A validated search request of a caller. */
struct search_request
{
    /** The caller's own id of the request, returned with the answer. */
    std::string caller_request_id;
    /** Ids of the services to search; not empty and without duplicates. */
    std::vector<std::uint32_t> services;
    std::string query;
    rank request_rank = rank::ordinary;
    /** Time by which this instance must have the answer ready to send. */
    time_point deadline;
    /** Maximum number of hits to return. */
    std::uint32_t limit = 10;
};

/** Sub-requests of an entry to one owner: the same query for many groups. */
struct search_batch
{
    query_id id;
    /** Number of this batch among those of the query, from 1; all batches that
        are sent at the same time share it. */
    std::uint32_t attempt = 1;
    rank request_rank = rank::ordinary;
    /** Time that is left when the message is sent. */
    duration time_left{};
    /** Snapshot to answer from; 0 for the newest. */
    std::uint64_t snapshot = 0;
    std::uint64_t bundle_version = 0;
    std::uint32_t limit = 10;
    std::string query;
    /** A group, with the epoch of its service's partition map. */
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
    /** With outcome::ran, hits holds the answer of the group. */
    verdict state;
    std::uint64_t snapshot = 0;
    std::uint64_t epoch = 0;
    snapshot_range served_snapshots;
    /** Time that the sub-request waited for a slot. */
    duration queue_delay{};
    /** Time from the start of the successful attempt to its reply. */
    duration service_time{};
    /** Attempts that were sent to backend servers for this group. */
    std::uint32_t sub_requests_sent = 0;
    std::vector<hit> hits;
};

/** How many groups of one service contributed to an answer. */
struct service_coverage
{
    std::uint32_t service = 0;
    std::uint32_t answered_groups = 0;
    /** Groups in the partition map that the query uses. */
    std::uint32_t total_groups = 0;
};

/** The answer to a caller. */
struct search_answer
{
    query_id id;
    std::string caller_request_id;
    verdict state;
    std::uint64_t snapshot = 0;
    std::uint64_t bundle_version = 0;
    std::vector<service_coverage> coverage;
    /** Merged hits, by descending score and then by ascending document. */
    std::vector<hit> hits;
    std::uint32_t sub_requests_sent = 0;
    /** Most frequent reason why groups are missing from the answer. */
    reason missing_reason = reason::none;

    /** Returns the share of the groups of all requested services that
        contributed, 0 to 1. */
    double overall_coverage() const noexcept;
};

/** One attempt at a sub-request, as it is sent to a backend server. */
struct backend_request
{
    query_id id;
    group_id group;
    searcher_id server = 0;
    std::uint64_t snapshot = 0;
    std::uint64_t epoch = 0;
    rank request_rank = rank::ordinary;
    /** Time that is left when the message is sent. */
    duration time_left{};
    std::uint32_t limit = 10;
    std::string query;
};

/** How an attempt at a backend server ended. */
enum class backend_status : std::uint8_t
{
    ok,
    /** The server rejected it without running it, because of overload. */
    shed,
    /** The server is about to leave and rejected it without running it. */
    draining,
    /** The server does not serve that snapshot any more, or not yet. */
    snapshot_gone,
    /** The server stopped at the deadline. */
    deadline,
    /** No connection could be opened; no byte was sent. */
    connect_failed,
    /** The connection was lost after bytes were sent. */
    connection_lost,
    /** No reply arrived in time. */
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
    snapshot_range served_snapshots;
    std::vector<hit> hits;
};

/** The load that a backend server reports. It may be out of date or wrong. */
struct load_report
{
    searcher_id server = 0;
    /** Utilisation, 0 to 1. */
    double load = 0.0;
    std::uint32_t in_flight = 0;
    std::uint32_t queued_requests = 0;
    bool is_draining = false;
    snapshot_range served_snapshots;
};

} // namespace turmericlane
