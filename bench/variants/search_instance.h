#pragma once

#include "../fakes/fake_backend_client.h"

namespace turmericlane::bench
{

/** Objects that all instances of a run share. */
struct run_context
{
    std::uint64_t seed = 0;
    event_queue& events;
    fake_network& network;
    answer_checker& checker;
    searcher_table& searchers;
};

/** Base class of the instances of each variant.

    @see naive_instance, turmericlane_instance
*/
class search_instance
{
public:
    /** @param limit_divisor  see fake_backend_client */
    search_instance(
        const run_context& context,
        ordinal own_ordinal,
        std::uint32_t limit_divisor);
    virtual ~search_instance() = default;
    search_instance(const search_instance&) = delete;
    search_instance& operator=(const search_instance&) = delete;

    /** Called when a bundle version reaches this instance. */
    virtual void on_bundle(const std::shared_ptr<const bundle>& new_bundle) = 0;

    /** Called when a query reaches this instance.
        @param deadline  time at which the answer must be sent */
    virtual void
    on_search(std::uint64_t query, rank query_rank, time_point deadline) = 0;

    /** Called when the load endpoint of a searcher has replied. */
    virtual void on_load_report(const load_report& report);

    /** Called when a peer becomes usable or unusable for this instance. */
    virtual void on_peer_view(ordinal peer, bool is_usable);

    /** Called when the process resumes after a pause. */
    virtual void on_resume();

    ordinal own_ordinal() const noexcept
    {
        return own_ordinal_;
    }

    std::uint32_t data_centre() const noexcept
    {
        return own_ordinal_ % data_centre_count;
    }

    fake_process& process() noexcept
    {
        return process_;
    }

protected:
    const run_context& context() const noexcept
    {
        return context_;
    }

    fake_backend_client& client() noexcept
    {
        return client_;
    }

private:
    const run_context& context_;
    ordinal own_ordinal_;
    fake_process process_;
    fake_backend_client client_;
};

} // namespace turmericlane::bench
