#pragma once

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
