#pragma once

#include "../routing/owner_map.h"
#include "coverage_counter.h"
#include "hit_merger.h"

#include <array>
#include <memory>
#include <optional>

namespace turmericlane
{

/** A bundle with the candidate owners that follow from it. Queries hold it by
    shared ownership. */
struct pinned_bundle
{
    std::shared_ptr<const bundle> content;
    owner_map owners;
};

/** The state of a running query at its entry: its sub-requests, what was sent
    to which owner, and what has arrived.

    It only records; search_engine makes the decisions.

    @see search_engine
*/
class query_state
{
public:
    /** How often one sub-request can be sent. */
    static constexpr std::size_t max_owner_requests = 6;

    /** One sending of a sub-request to one owner. */
    struct owner_request
    {
        /** The attempt number of its batch. */
        std::uint32_t attempt = 0;
        ordinal owner = 0;
        /** True until an answer arrives or the owner is lost. */
        bool is_pending = false;
    };

    /** The sub-request of one group. */
    struct part
    {
        group_id group;
        std::uint64_t epoch = 0;
        std::uint32_t service_index = 0;
        /** Index of the candidate owner to try next. */
        std::uint32_t next_candidate = 0;
        std::uint32_t request_count = 0;
        std::array<owner_request, max_owner_requests> owner_requests{};
        bool is_answered = false;
        bool has_failed = false;
        bool may_have_run = false;
        /** True if it was sent again because of its snapshot. */
        bool is_snapshot_retried = false;
        reason failure_reason = reason::none;

        /** True if it needs no further reply. */
        bool is_done() const noexcept
        {
            return is_answered || has_failed;
        }

        /** True if an owner request is pending. */
        bool is_pending() const noexcept;

        /** Returns the owner request with that attempt number, or null. */
        owner_request* find_request(std::uint32_t attempt) noexcept;
    };

    /** Creates the state of a query on a bundle that has all its services. */
    query_state(
        query_id new_id,
        const search_request& search,
        std::shared_ptr<const pinned_bundle> initial_bundle,
        std::span<const service_map* const> services,
        time_point now);

    /** Returns the sub-request of a group, or null if the group is not in the
        partition map of the query. */
    part* find_part(group_id target_group) noexcept;

    /** Records the answer to a sub-request that is not done. */
    void add_answer(part& sub_request, const shard_reply& reply);

    /** Marks a sub-request that is not done as failed. */
    void fail(part& sub_request, reason cause);

    /** Forgets all answers and owner requests, so that everything can be sent
        again for another snapshot. */
    void restart(std::uint64_t new_snapshot);

    /** True if every sub-request is done. */
    bool is_complete() const noexcept
    {
        return done_parts_ == parts.size();
    }

    /** Returns the owners with pending requests, each once. */
    std::vector<ordinal> pending_owners() const;

    /** Returns the most frequent reason of the sub-requests without an
        answer. */
    reason missing_reason() const;

    /** Creates the answer and moves the merged hits into it.
        @param is_at_deadline  true if the deadline was reached */
    search_answer make_answer(bool is_at_deadline);

    query_id id;
    search_request request;
    /** The bundle at admission; it is used to the end of the query. */
    std::shared_ptr<const pinned_bundle> own_bundle;
    /** 0 until the first reply if no range was known at admission. */
    std::uint64_t snapshot = 0;
    time_point admission_time;
    bool is_restarted = false;
    /** Attempts up to this number were sent for an earlier snapshot. */
    std::uint32_t last_stale_attempt = 0;
    /** When each attempt was sent, from attempt 1. */
    std::vector<time_point> send_times;
    std::vector<part> parts;
    /** Number of sub-requests that waited long for a slot. */
    std::size_t delayed_parts = 0;
    /** True once enough delays were seen to lower the limit of the rank. */
    bool is_congested = false;
    /** Time of the last owner check, or of the admission before the first one.
        The next check looks at requests that were sent until then. */
    time_point last_owner_check{};

private:
    verdict final_verdict(bool is_at_deadline) const;

    /** Index of the first part of each service. */
    std::vector<std::size_t> first_parts_;
    std::size_t done_parts_ = 0;
    std::uint32_t sub_requests_sent_ = 0;
    coverage_counter coverage_;
    hit_merger merger_;
};

} // namespace turmericlane
