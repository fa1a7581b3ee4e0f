#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace turmericlane
{

/** A sub-request that waits for a searcher. */
struct waiting_part
{
    std::uint64_t request = 0;
    std::size_t part_index = 0;
    /** When it must start so that its request meets the target. */
    time_point latest_start = time_point::max();
    /** Until when its request may be refused, where refusals are limited to the
        first part of the target. */
    time_point refusal_end = time_point::max();
    /** From when it goes before the others of its rank, because its caller is
        about to give up. */
    time_point overdue_time = time_point::max();
};

/** The sub-requests that wait for a searcher below its limit, by service and
    rank, the oldest of a rank first. May contain sub-requests that have ended.

    @see forward_engine, request_admission
*/
class waiting_work
{
public:
    /** Sub-requests of a service by rank. */
    using rank_queues = std::map<std::uint32_t, std::deque<waiting_part>>;

    /** Appends a sub-request to the queue of its service and rank. */
    void
    add(const std::string& service,
        std::uint32_t rank,
        const waiting_part& part);

    /** Returns the queues of a service; null if nothing ever waited for it. */
    rank_queues* find(const std::string& service);

    /** @copydoc find */
    const rank_queues* find(const std::string& service) const;

    /** Returns all queues by service. */
    std::unordered_map<std::string, rank_queues>& services() noexcept
    {
        return services_;
    }

    /** Returns the number of sub-requests of a service that are at least as
        urgent as a rank. */
    std::size_t
    count_ahead(const std::string& service, std::uint32_t rank) const;

private:
    std::unordered_map<std::string, rank_queues> services_;
};

} // namespace turmericlane
