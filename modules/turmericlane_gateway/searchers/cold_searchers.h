#pragma once

#include "../gateway/gateway_metrics.h"
#include "../log/json_log.h"

#include <turmericlane_forwarding/turmericlane_forwarding.h>
#include <turmericlane_state/turmericlane_state.h>

#include <unordered_map>
#include <unordered_set>

namespace turmericlane
{

/** Tells the searchers of services with a warm-up rate until when they are cold
    and what this instance may send to them meanwhile, and logs it.

    Only cold searchers are visited regularly, so that the cost does not grow
    with the number of searchers.

    One thread uses it.

    @see warm_up_pacer, warm_up_share
*/
class cold_searchers
{
public:
    /** All references must outlive the object.
        @param instance  nonce of this instance */
    cold_searchers(
        const clock& time,
        const searcher_registry& searchers,
        json_log& log,
        std::uint64_t instance);

    /** Call when another configuration is in force, before
        on_service_changed(). */
    void on_configuration(std::span<const service_settings> services);

    /** Call when the searchers or settings of a service have changed. */
    void on_service_changed(const std::string& service);

    /** Call when an entry was written, after the registry got it. */
    void on_entry(const searcher_entry& entry);

    /** Call when a searcher stated in an answer how much longer it is cold.
        @param warm_up_time  zero if it stated nothing */
    void on_statement(
        const std::shared_ptr<searcher>& target, duration warm_up_time);

    /** Call when the evacuation of a data centre has ended: its searchers are
        cold for their service's warm-up time. */
    void on_evacuation_ended(const std::string& data_centre);

    /** Call at least every second.
        @param named_members   instances named to callers, best first
        @param live_count      number of live instances
        @param expected_count  number of instances that may be running */
    void on_fleet(
        std::span<const member> named_members,
        std::size_t live_count,
        std::size_t expected_count);

    /** Updates the metrics of cold searchers. */
    void report(gateway_metrics& metrics) const;

private:
    struct warm_up
    {
        duration time{};
        double rate = 0.0;
    };

    /** Begins to follow the searcher if it is cold, and logs that. */
    void follow(const std::shared_ptr<searcher>& target);
    void renew_limit(searcher& target, time_point now) const;
    bool is_cold_in_use(const searcher& target, time_point now) const;

    const clock& clock_;
    const searcher_registry& searchers_;
    json_log& log_;
    warm_up_share share_;
    warm_up_state last_state_ = warm_up_state::unsettled;
    /** Services that have or had a rate, by name. */
    std::unordered_map<std::string, warm_up> warm_ups_;
    /** Cold searchers whose limits are renewed. */
    std::unordered_set<std::shared_ptr<searcher>> followed_;
};

} // namespace turmericlane
