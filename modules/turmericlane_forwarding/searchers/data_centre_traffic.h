#pragma once

#include "../routing/data_centre_balance.h"
#include "searcher.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericlane
{

/** A share of a service's requests that changed, or its reason. */
struct balance_change
{
    std::string service;
    /** Data centre to which the share is sent. */
    std::string destination;
    double share = 0.0;
    balance_reason reason = balance_reason::inside_faster;
    bool is_reason_new = false;
};

/** Measures latency and load of each service by data centre, and says to which
    data centre the next request is sent.

    It is made for many small services, of which each instance sees a sample of
    the requests. Requests are spread by error diffusion: in any sequence the
    number sent to a destination differs from its share by at most one.

    Decision code without input or output. Not thread-safe.

    @see data_centre_balance, replica_selector
*/
class data_centre_traffic
{
public:
    /** @param data_centre  data centre of this instance
        @param evacuated    evacuated data centres; must outlive the object */
    data_centre_traffic(
        std::string data_centre,
        const balance_settings& settings,
        const std::set<std::string>& evacuated);

    /** Sets the number of live instances of the own data centre. */
    void set_instances(std::uint32_t instances);

    /** Call when a searcher answered, after its load has been recorded. */
    void on_answer(const searcher& target, duration latency, time_point now);

    /** True if latencies of the own data centre are known for a service. */
    bool is_measured(const std::string& service) const;

    /** Returns the data centre that the next request of a service is sent to;
        the own one unless it is the turn of another one. Has no effect on the
        turns.
        @param replicas   searchers of the service
        @param time_left  until the target of the request; zero if not known */
    const std::string& next_destination(
        const std::string& service,
        std::span<const std::shared_ptr<searcher>> replicas,
        duration time_left,
        time_point now);

    /** Call when a first attempt is sent.
        @param data_centre  data centre of its searcher */
    void on_sent(const std::string& service, const std::string& data_centre);

    /** Returns the price of a request's traffic, relative to a usual
        request. */
    double price_cost(const std::string& service) const;

    /** Returns the changes since the last call. */
    std::vector<balance_change> take_changes();

private:
    /** Measurements and decision for one data centre. */
    struct place
    {
        explicit place(duration traffic_price)
            : balance(traffic_price)
        {
        }

        /** When it had searchers that a request might use. */
        time_point seen_time{};
        double load = 0.0;
        time_point load_time{};
        duration distance{};
        /** When it was measured; the start of the clock if it never was. */
        time_point distance_time{};
        data_centre_balance balance;
        /** Requests that should have been sent there, minus those sent. */
        double credit = 0.0;
        double recorded_share = 0.0;
        balance_reason recorded_reason = balance_reason::inside_faster;
    };

    struct service_state
    {
        /** Zero if it has not been measured. */
        duration work_time{};
        time_point rate_start{};
        std::uint32_t requests = 0;
        double request_rate = 0.0;
        time_point next_update{};
        std::map<std::string, place> places;
    };

    place& place_of(service_state& state, const std::string& data_centre);
    static void measure_rate(service_state& state, time_point now);
    std::map<std::string, data_centre_state> summarize(
        const service_state& state,
        std::span<const std::shared_ptr<searcher>> replicas,
        time_point now) const;
    void update(
        const std::string& service,
        service_state& state,
        std::span<const std::shared_ptr<searcher>> replicas,
        time_point now);
    static duration distance(
        const service_state& state, const place& destination, time_point now);
    void record(
        const std::string& service,
        const std::string& destination,
        place& changed);

    std::string data_centre_;
    balance_settings settings_;
    const std::set<std::string>& evacuated_;
    std::uint32_t instances_ = 1;
    std::unordered_map<std::string, service_state> services_;
    std::vector<balance_change> changes_;
};

} // namespace turmericlane
