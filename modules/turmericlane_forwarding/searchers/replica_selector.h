#pragma once

#include "data_centre_traffic.h"
#include "searcher.h"

#include <random>
#include <span>
#include <string>
#include <string_view>

namespace turmericlane
{

/** Selects the searcher for an attempt among the replicas of a service.

    It takes the replica with the lowest cost: searcher::cost, and a surcharge
    for a replica in another data centre, which is farther away and whose
    traffic is charged, and for one to which this instance keeps no connection,
    because one has to be opened. Ejected replicas, and those that a
    peer reported as leaving, are used only if there is no other.

    With a data_centre_traffic there is no surcharge: it says whose turn it is,
    the own data centre or another one, and the best replica there is taken.
    One elsewhere is taken if there is none that is suitable, or if the own one
    is slow or fails and the other is expected to be much better.

    @see searcher, plan_connections, data_centre_traffic
*/
class replica_selector
{
public:
    /** Outcome of a selection. */
    enum class outcome : std::uint8_t
    {
        chosen,
        /** Suitable searchers exist, but all are at their limit. */
        busy,
        /** No suitable searcher exists. */
        none
    };

    /** Result of a selection. */
    struct selection
    {
        outcome result = outcome::none;
        std::shared_ptr<searcher> target;
    };

    /** Requirements of an attempt. */
    struct attempt_needs
    {
        /** Searchers that must not be used again. */
        std::span<const std::shared_ptr<searcher>> tried_searchers;
        /** True if only searchers that are expected to answer at once are
            suitable. */
        bool requires_idle = false;
        /** Until the target of the request; zero if not known. */
        duration time_left{};
    };

    /** @param data_centre  data centre of this instance
        @param seed         for the random choice among equal replicas
        @param traffic      balances between data centres; null if this is
                            disabled, else must outlive the selector */
    replica_selector(
        std::string data_centre,
        std::uint64_t seed,
        data_centre_traffic* traffic = nullptr);

    /** Selects a searcher for an attempt.
        @param replicas  searchers of the service
        @param now       present time */
    selection choose(
        std::span<const std::shared_ptr<searcher>> replicas,
        const attempt_needs& needs,
        time_point now);

private:
    /** A replica and what using it is expected to cost. */
    struct option
    {
        std::shared_ptr<searcher> target;
        double cost = 0.0;
    };

    selection choose_by_cost(
        std::span<const std::shared_ptr<searcher>> replicas,
        const attempt_needs& needs,
        time_point now);
    selection choose_by_turn(
        std::span<const std::shared_ptr<searcher>> replicas,
        const attempt_needs& needs,
        time_point now);
    double cost(const searcher& candidate, double surcharge, time_point now);
    /** Returns the cost of a state in which a replica is a last resort. */
    static double state_cost(const searcher& candidate, time_point now);

    std::string data_centre_;
    std::mt19937_64 random_;
    data_centre_traffic* traffic_;
};

} // namespace turmericlane
