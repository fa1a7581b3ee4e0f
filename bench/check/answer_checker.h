#pragma once

#include "../model/deployment.h"
#include "document.h"
#include "violation.h"

#include <turmericlane_decisions/turmericlane_decisions.h>

#include <map>
#include <memory>

namespace turmericlane::bench
{

/** Record of one query of a run. Masks have one bit per group.

    @see group_bit
*/
struct query_record
{
    rank query_rank = rank::ordinary;
    time_point send_time;
    time_point finish_time;
    bool is_finished = false;
    bool has_reached_slot = false;
    verdict state;
    double coverage = 0.0;
    std::vector<service_coverage> service_coverages;
    /** Hash of the hits in their order, to compare the variants. */
    std::uint64_t hits_hash = 0;
    /** Mask of the groups to which at least one sub-request was sent. */
    std::uint64_t requested_groups = 0;
    std::uint32_t sub_requests = 0;
};

/** Checks the answers of a run against what the simulated servers did.

    The run reports each event; the checker counts violations of the guarantees.

    @see violation
*/
class answer_checker
{
public:
    /** @param query_count  number of queries, which are numbered from 0 */
    explicit answer_checker(std::size_t query_count);

    /** Called when a bundle version comes into force at an instance. */
    void
    on_bundle(const std::shared_ptr<const bundle>& new_bundle, time_point now);

    /** Called when a caller sends a query. */
    void on_query(std::uint64_t query, rank query_rank, time_point now);

    /** Called when the entry sends a batch to an owner. */
    void on_batch(const search_batch& batch);

    /** Called when the reply of an owner reaches the entry. */
    void on_entry_reply(std::uint64_t query, const shard_reply& reply);

    /** Called when the first byte of a sub-request is sent to a searcher. */
    void on_sub_request(const backend_request& request, time_point now);

    /** Called when a query gets a slot of a searcher. */
    void on_slot(std::uint64_t query);

    /** Returns the number of earlier calls for this query and group. */
    std::uint64_t next_attempt(std::uint64_t query, group_id group);

    /** Called when a searcher replies with hits. */
    void on_server_reply(
        std::uint64_t query,
        group_id group,
        std::uint64_t snapshot,
        std::uint64_t epoch);

    /** Called when a searcher is asked for another connection.
        @param connections  number of connections with this one */
    void on_connection(std::uint32_t connections, std::uint32_t limit);

    /** Called when a query ends. */
    void on_finish(const search_answer& answer, time_point now);

    /** Called at the end of the run, when every query must have ended. */
    void on_end();

    const violation_counts& violations() const noexcept
    {
        return violations_;
    }

    /** Returns the number of violations of all kinds. */
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

    /** Events of a query that the check of its answer needs. */
    struct query_events
    {
        std::vector<document> server_replies;
        std::vector<entry_reply> entry_replies;
        std::array<std::uint8_t, 64> attempt_counts{};
        std::array<std::uint32_t, 64> last_attempts{};
    };

    void count_violation(violation kind);
    query_events& find_or_add_events(std::uint64_t query);
    void check_answer(const search_answer& answer, const query_record& record);
    std::uint64_t
    check_hits(const search_answer& answer, const bundle& configuration);
    bool is_sent_by_server(const document& origin);
    void check_coverage(
        const search_answer& answer,
        const bundle& configuration,
        const query_record& record,
        std::uint64_t hit_groups);
    void check_replies_used(
        const search_answer& answer,
        const bundle& configuration,
        std::uint64_t hit_groups);

    std::vector<query_record> records_;
    std::vector<std::unique_ptr<query_events>> query_events_;
    std::map<std::uint64_t, std::shared_ptr<const bundle>> bundles_;
    std::map<searcher_id, time_point> leaving_since_;
    violation_counts violations_{};
};

} // namespace turmericlane::bench
