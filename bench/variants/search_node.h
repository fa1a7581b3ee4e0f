#pragma once

#include "../fakes/backend_link.h"

namespace turmericlane::bench
{

/** What the nodes of a run share. */
struct surroundings
{
    std::uint64_t seed = 0;
    event_queue& events;
    fake_network& network;
    answer_checker& checker;
    searcher_table& searchers;
};

/** One instance of a variant.

    @see naive_node, turmericlane_node
*/
class search_node
{
public:
    /** @param limit_divisor  see backend_link */
    search_node(
        const surroundings& around, ordinal self, std::uint32_t limit_divisor);
    virtual ~search_node() = default;
    search_node(const search_node&) = delete;
    search_node& operator=(const search_node&) = delete;

    /** A version reaches this instance. */
    virtual void on_bundle(const std::shared_ptr<const bundle>& of) = 0;

    /** A query reaches this instance.
        @param deadline  when the answer must leave it */
    virtual void
    on_search(std::uint64_t query, rank work, time_point deadline) = 0;

    /** The load endpoint of a searcher answered. */
    virtual void on_load_report(const load_report& report);

    /** The view of a peer changes. */
    virtual void on_peer_view(ordinal peer, bool usable);

    /** The process wakes from a pause. */
    virtual void on_wake();

    ordinal self() const noexcept
    {
        return self_;
    }

    std::uint32_t data_centre() const noexcept
    {
        return self_ % data_centre_count;
    }

    fake_process& process() noexcept
    {
        return process_;
    }

protected:
    const surroundings& around() const noexcept
    {
        return around_;
    }

    backend_link& link() noexcept
    {
        return link_;
    }

private:
    const surroundings& around_;
    ordinal self_;
    fake_process process_;
    backend_link link_;
};

} // namespace turmericlane::bench
