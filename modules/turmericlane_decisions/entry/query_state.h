#pragma once

#include "../routing/owner_map.h"
#include "coverage.h"
#include "merge.h"

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

/** One running query at its entry: its parts, what was asked of which owner,
    and what has arrived.

    It holds the record only; search_coordinator decides.

    @see search_coordinator
*/
class query_state
{
public:
    /** Times that one part can be asked for. */
    static constexpr std::size_t max_sendings = 6;

    /** A request for one part to one owner. */
    struct sending
    {
        std::uint32_t attempt = 0;
        ordinal owner = 0;
        /** No answer has arrived. */
        bool open = false;
    };

    /** One group of the query. */
    struct part
    {
        group_id group;
        std::uint64_t epoch = 0;
        std::uint32_t service_position = 0;
        std::uint32_t next_candidate = 0;
        std::uint32_t sending_count = 0;
        std::array<sending, max_sendings> sendings{};
        bool answered = false;
        bool failed = false;
        bool may_have_run = false;
        /** It was asked for again because of its snapshot. */
        bool asked_again = false;
        reason why = reason::none;

        /** True if it needs no further reply. */
        bool done() const noexcept
        {
            return answered || failed;
        }

        /** True if a request for it has no answer. */
        bool waiting() const noexcept;

        /** The request with that attempt number, or null. */
        sending* find(std::uint32_t attempt) noexcept;
    };

    /** Makes the record of a query on a bundle that has all its services. */
    query_state(
        query_id id,
        const search_request& request,
        std::shared_ptr<const pinned_bundle> pinned,
        std::span<const service_map* const> services,
        time_point now);

    /** The part for a group, or null if it is not in the query's map. */
    part* find_part(group_id id) noexcept;

    /** Takes the answer of a part that is not done. */
    void take_answer(part& of, const shard_reply& reply);

    /** Gives a part up that is not done. */
    void fail(part& of, reason why);

    /** Forgets all answers and requests, to ask again for another snapshot. */
    void restart(std::uint64_t other_snapshot);

    /** True if every part is done. */
    bool complete() const noexcept
    {
        return parts_done_ == parts.size();
    }

    /** Owners that have not answered all that was asked of them, each once. */
    std::vector<ordinal> waiting_owners() const;

    /** Most frequent reason of the parts that did not answer. */
    reason missing() const;

    /** Makes the answer. The merged hits move into it.
        @param at_deadline  the deadline was reached */
    search_answer make_answer(bool at_deadline);

    query_id id;
    search_request request;
    std::shared_ptr<const pinned_bundle> pinned;
    /** 0 until the first reply if no range was known at admission. */
    std::uint64_t snapshot = 0;
    time_point admitted;
    bool repinned = false;
    /** Attempts up to this number belong to another snapshot. */
    std::uint32_t stale_attempts = 0;
    /** When each attempt was sent, from attempt 1. */
    std::vector<time_point> sent;
    std::vector<part> parts;
    /** Parts that waited long for a slot, and whether that was acted on. */
    std::size_t delayed_parts = 0;
    bool congested = false;
    /** Requests sent until here are looked at by the next owner check. */
    time_point check_until{};

private:
    verdict final_verdict(bool at_deadline) const;

    std::vector<std::size_t> first_parts_;
    std::size_t parts_done_ = 0;
    std::uint32_t sub_requests_sent_ = 0;
    coverage coverage_;
    merge merge_;
};

} // namespace turmericlane
