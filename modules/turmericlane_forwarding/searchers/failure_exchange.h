#pragma once

#include "searcher.h"

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericlane
{

class searcher_registry;

/** What an instance has lately seen of a searcher. */
struct failure_count
{
    std::string searcher_id;
    /** Requests that ended, at least as many as failed. */
    std::uint32_t requests = 0;
    /** Of these, the ones that got no usable answer. */
    std::uint32_t failures = 0;

    friend bool
    operator==(const failure_count&, const failure_count&) = default;
};

/** Shares with the peers of a data centre how often searchers fail.

    In a large fleet an instance sends each searcher a request every second or
    two, and alone takes many seconds to learn that it fails part of them. Each
    instance reports its recent counts for the searchers that failed, and for
    those that others have reported. The reports are pooled: every reporter
    counts with a bounded number of requests, and failures count only once two
    instances have seen some, so that one reporter can't put a searcher out of
    use, nor keep it in use.

    Made for faults in which many searchers at once fail a part of their
    requests while they look sound. While searchers reject requests because they
    are full, nothing is counted, reported or used: full searchers also reset
    connections, their replicas are as full, and instances that avoid the same
    searchers together open more connections to the others.

    Decision code without input or output. Not thread-safe.

    @see searcher::set_pooled_failure_rate
*/
class failure_exchange
{
public:
    /** @param time       must outlive the object
        @param searchers  must outlive the object */
    failure_exchange(const clock& time, const searcher_registry& searchers);

    /** Call when a request to a searcher has ended.
        @param has_failed  true if it got no usable answer */
    void on_result(searcher& target, bool has_failed);

    /** Call when a searcher has rejected a request because it was full. */
    void on_rejected();

    /** Returns what is to be reported to the peers now; empty if nothing is, or
        if the last report was made a moment ago. At most max_report_size
        entries, those with the most failures. */
    std::vector<failure_count> take_report();

    /** Call when a peer has reported. Its earlier report no longer counts.
        @param reporter  identifies the peer's process */
    void
    on_report(std::uint64_t reporter, std::span<const failure_count> counts);

    /** Returns the number of searchers of which failures are known. */
    std::size_t suspect_count() const noexcept
    {
        return suspects_.size();
    }

    /** Largest number of entries of a report. */
    static constexpr std::size_t max_report_size = 32;

private:
    /** Sums of own results that decay with time. */
    struct own_counts
    {
        double requests = 0.0;
        double failures = 0.0;
        time_point time;
    };

    struct peer_count
    {
        std::uint32_t requests = 0;
        std::uint32_t failures = 0;
        time_point time;
    };

    /** What is known of a searcher that has failed. */
    struct suspect
    {
        std::map<std::uint64_t, peer_count> reports;
        time_point last_failure;
    };

    bool is_overloaded() const;
    void decay(own_counts& counts, time_point now) const;
    void update(searcher& target);
    void remove_expired();

    const clock& clock_;
    const searcher_registry& searchers_;
    std::unordered_map<std::string, own_counts> own_counts_;
    std::unordered_map<std::string, suspect> suspects_;
    time_point next_report_{};
    time_point overload_end_{};
};

} // namespace turmericlane
