#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>
#include <string_view>

namespace turmericlane
{

/** Settings of the balancing between data centres. */
struct balance_settings
{
    bool is_enabled = false;
    /** Time of a caller that one request sent to another data centre must
        save, for the cost of its traffic. */
    duration traffic_price{};
};

/** Why a share of the requests is sent to another data centre, or none. */
enum class balance_reason : std::uint8_t
{
    /** The own searchers are expected to answer earlier. */
    inside_faster,
    outside_faster,
    /** The searchers there have no capacity to spare. */
    no_room,
    /** The searchers there, or the link, became slow. */
    slow,
    /** The searchers there have just started. */
    cold,
    evacuated,
    /** No searcher there is usable. */
    unreachable,
    /** The time saved is worth less than the traffic. */
    price
};

/** Returns the name for logs. */
std::string_view to_string(balance_reason value) noexcept;

/** Searchers of one service in one data centre. */
struct data_centre_state
{
    /** Slots of the usable searchers. */
    double slots = 0.0;
    /** Requests that run or wait there, for each slot. */
    double load = 0.0;
    /** False if no recent answer reported the load. */
    bool is_load_known = false;
    /** Time that work takes, relative to the usual time. */
    double work_time_factor = 1.0;
    /** Time that is added to the work, mostly the round trip. */
    duration distance{};
    bool is_cold = false;
    bool is_evacuated = false;
};

/** Requests of one service at this instance. */
struct service_demand
{
    /** Usual time of a request in a slot; above zero. */
    duration work_time{};
    /** Requests for each second at this instance; zero if not known. */
    double request_rate = 0.0;
    /** Live instances of the own data centre; at least 1. */
    std::uint32_t instances = 1;
    /** Share that is sent to all other destinations together. */
    double other_share = 0.0;
};

/** Decides which share of a service's requests is sent to another data centre.

    It is made for data centres whose demand varies in waves of different phase,
    so that one has too few searchers while others have capacity to spare, with
    many instances that see the same difference at the same time.

    The share approaches, in steps, the one at which requests are expected to
    complete at the same time on both sides. All instances of the own data
    centre together use at most the spare capacity there. The share drops to
    zero at once if the destination gets into trouble.

    Decision code without input or output. Not thread-safe.

    @see data_centre_traffic
*/
class data_centre_balance
{
public:
    /** @param traffic_price  see balance_settings */
    explicit data_centre_balance(duration traffic_price);

    /** Reconsiders the share.
        @param inside   the own data centre
        @param outside  the destination */
    void update(
        const service_demand& demand,
        const data_centre_state& inside,
        const data_centre_state& outside,
        time_point now);

    /** Returns the share of the requests to send, 0 to 1. */
    double share() const noexcept
    {
        return share_;
    }

    /** Returns why the share is as it is. */
    balance_reason reason() const noexcept
    {
        return reason_;
    }

private:
    void drop(balance_reason reason, time_point now);
    /** Returns the largest share for which the destination has room. */
    double max_share(
        const service_demand& demand, const data_centre_state& outside) const;
    void measure_arrivals(
        const service_demand& demand,
        const data_centre_state& inside,
        time_point now);
    /** Returns the share at which the own searchers serve as many requests as
        arrive, and the number that waits approaches the one at which they take
        as long as the destination.
        @param outside_time  expected time there, in seconds */
    double balanced_share(
        const service_demand& demand,
        const data_centre_state& inside,
        double outside_time) const;

    duration traffic_price_;
    double share_ = 0.0;
    balance_reason reason_ = balance_reason::inside_faster;
    time_point next_step_{};
    /** Consecutive steps at which sending was worthwhile. */
    std::uint32_t worthwhile_steps_ = 0;
    /** Smoothed arrivals inside, relative to what its slots complete. */
    double arrivals_ = 0.0;
    double last_load_ = 0.0;
    time_point load_time_{};
    /** Smoothed expected time at the destination, in seconds. */
    double usual_outside_time_ = 0.0;
};

} // namespace turmericlane
