#pragma once

#include "metrics_registry.h"

#include <turmericlane_core/turmericlane_core.h>

#include <array>
#include <vector>

namespace turmericlane
{

/** The counters of what one instance does. They are looked up by index, not by
    name.

    The counters of every reason exist from the start, so that a scrape shows
    zero, rather than no series, for a reason that has not occurred. All methods
    may be called from any thread.

    @see metrics_registry, reason
*/
class instance_counters
{
public:
    /** Creates the counters.
        @param registry  holds the counters; must outlive this object */
    explicit instance_counters(metrics_registry& registry);

    /** Counts a request or sub-request that was refused. */
    void count_refusal(reason cause, rank request_rank) noexcept;

    /** Counts a retry of a sub-request. */
    void count_retry(reason cause, rank request_rank) noexcept;

    /** Counts a hedge of a slow sub-request. */
    void count_hedge(rank request_rank) noexcept;

    /** Counts a dropped reply, which matches no pending request. */
    void count_dropped_reply(reason cause) noexcept;

    /** Counts a connection to a peer that was closed. */
    void count_closed_connection(reason cause) noexcept;

    /** Counts frames that were sent to peers. */
    void count_sent_frames(std::uint64_t frames = 1) noexcept;

    /** Counts frames that were received from peers. */
    void count_received_frames(std::uint64_t frames = 1) noexcept;

    /** Counts a read or watch of the configuration service or of the instance
        list. */
    void count_platform_read() noexcept;

    /** Counts an answer of the configuration service that shows that it has no
        version as high as the one in force. */
    void count_older_configuration() noexcept;

private:
    using counters_by_reason = std::vector<counter*>;
    using counters_by_reason_and_rank =
        std::vector<std::array<counter*, rank_count>>;

    counters_by_reason_and_rank refusals_;
    counters_by_reason_and_rank retries_;
    std::array<counter*, rank_count> hedges_{};
    counters_by_reason dropped_replies_;
    counters_by_reason closed_connections_;
    counter* frames_sent_ = nullptr;
    counter* frames_received_ = nullptr;
    counter* platform_reads_ = nullptr;
    counter* older_configurations_ = nullptr;
};

} // namespace turmericlane
