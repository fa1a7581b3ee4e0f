#pragma once

#include "metrics_registry.h"

#include <turmericlane_core/turmericlane_core.h>

#include <array>
#include <vector>

namespace turmericlane
{

/** The counters that an instance keeps of its work, found by index in place of
    by name.

    Every reason has its counters from the start, so that a scrape shows zero
   and not a gap. Any thread may count.

    @see metrics_registry, reason
*/
class instance_counters
{
public:
    /** Creates the counters.
        @param registry  must outlive this object */
    explicit instance_counters(metrics_registry& registry);

    /** A request or sub-request was refused. */
    void refused(reason why, rank work) noexcept;

    /** A sub-request was sent again. */
    void retried(reason why, rank work) noexcept;

    /** A second copy of a slow sub-request was sent. */
    void hedged(rank work) noexcept;

    /** A reply was dropped because it matches nothing that is pending. */
    void dropped_reply(reason why) noexcept;

    /** A connection to a peer was closed. */
    void closed_connection(reason why) noexcept;

    /** Frames that were sent to or received from peers. */
    void frames_sent(std::uint64_t frames = 1) noexcept;
    void frames_received(std::uint64_t frames = 1) noexcept;

    /** A read or watch of the configuration service or instance list. */
    void platform_read() noexcept;

private:
    using by_reason = std::vector<counter*>;
    using by_reason_and_rank = std::vector<std::array<counter*, rank_count>>;

    by_reason_and_rank refused_;
    by_reason_and_rank retried_;
    std::array<counter*, rank_count> hedged_{};
    by_reason dropped_replies_;
    by_reason closed_connections_;
    counter* frames_sent_ = nullptr;
    counter* frames_received_ = nullptr;
    counter* platform_reads_ = nullptr;
};

} // namespace turmericlane
