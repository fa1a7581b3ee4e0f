#pragma once

#include "../model/deployment.h"
#include "document.h"
#include "violation.h"

#include <turmericlane_decisions/turmericlane_decisions.h>

#include <map>
#include <memory>

namespace turmericlane::bench
{

/** What a run knows about one query. Masks hold one bit for each group.

    @see bit_of
*/
struct query_record
{
    rank work = rank::ordinary;
    time_point sent;
    time_point finished;
    bool is_finished = false;
    bool reached_slot = false;
    verdict state;
    double coverage = 0.0;
    std::vector<service_coverage> by_service;
    /** Hash over the hits in order, to compare the variants. */
    std::uint64_t hits_hash = 0;
    /** Groups that got at least one sub-request. */
    std::uint64_t asked = 0;
    std::uint32_t sub_requests = 0;
};

/** Checks the answers of a run against what the fakes did.

    The run reports each event; the checker counts violations of the promises.

    @see violation
*/
class answer_checker
{
public:
    /** @param count  number of queries; they are numbered from 0 */
    explicit answer_checker(std::size_t count);

    /** A version is in force at one instance. */
    void on_bundle(const std::shared_ptr<const bundle>& of, time_point now);

    /** A caller sends a query. */
    void on_query(std::uint64_t query, rank work, time_point now);

    /** The entry asks an owner. */
    void on_batch(const search_batch& batch);

    /** An owner's reply reaches the entry. */
    void on_entry_reply(std::uint64_t query, const shard_reply& reply);

    /** The first byte of a sub-request leaves for a searcher. */
    void on_sub_request(const backend_request& request, time_point now);

    /** A query gets a slot of a searcher. */
    void on_slot(std::uint64_t query);

    /** Number of earlier calls for this query and group. */
    std::uint64_t next_attempt(std::uint64_t query, group_id group);

    /** A searcher replies with hits. */
    void on_server_reply(
        std::uint64_t query,
        group_id group,
        std::uint64_t snapshot,
        std::uint64_t epoch);

    /** A searcher is asked for one more connection. */
    void on_connection(std::uint32_t connections, std::uint32_t limit);

    /** A query ends. */
    void on_finish(const search_answer& answer, time_point now);

    /** The run is over; everything that was sent must have ended. */
    void on_end();

    const violation_counts& violations() const noexcept
    {
        return violations_;
    }

    std::uint64_t total_violations() const noexcept;

    const std::vector<query_record>& records() const noexcept
    {
        return records_;
    }

private:
    struct entry_reply
    {
        group_id group;
        std::uint32_t attempt = 0;
        std::uint64_t snapshot = 0;
        std::uint64_t epoch = 0;
    };

    /** Evidence that is needed until the query ends. */
    struct evidence
    {
        std::vector<document> server_replies;
        std::vector<entry_reply> entry_replies;
        std::array<std::uint8_t, 64> attempts{};
        std::array<std::uint32_t, 64> last_asked{};
    };

    void count(violation kind);
    evidence& evidence_of(std::uint64_t query);
    void check_ran(const search_answer& answer, const query_record& of);
    std::uint64_t check_hits(const search_answer& answer, const bundle& pinned);
    bool from_server(const document& one);
    void check_coverage(
        const search_answer& answer,
        const bundle& pinned,
        const query_record& of,
        std::uint64_t hit_groups);
    void check_replies_used(
        const search_answer& answer,
        const bundle& pinned,
        std::uint64_t hit_groups);

    std::vector<query_record> records_;
    std::vector<std::unique_ptr<evidence>> evidence_;
    std::map<std::uint64_t, std::shared_ptr<const bundle>> bundles_;
    std::map<searcher_id, time_point> leaving_since_;
    violation_counts violations_{};
};

} // namespace turmericlane::bench
