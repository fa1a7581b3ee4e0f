#pragma once

#include "searcher.h"

#include <random>
#include <span>
#include <string>
#include <string_view>

namespace turmericlane
{

/** Selects the searcher for an attempt among the replicas of a service.

    The cheapest one by searcher::cost is taken; a replica in this instance's
    data centre has an advantage, because the way to it is shorter and not
    charged. Ejected replicas are used only if there is no other.

    A replica to which this instance keeps no connection has the disadvantage
    that one has to be opened.

    @see searcher, plan_connections
*/
class replica_selector
{
public:
    /** How a selection ended. */
    enum class outcome : std::uint8_t
    {
        chosen,
        /** A suitable searcher exists, but none has room. */
        busy,
        /** No suitable searcher exists. */
        none
    };

    /** A selected searcher. */
    struct selection
    {
        outcome result = outcome::none;
        std::shared_ptr<searcher> target;
    };

    /** What an attempt needs. */
    struct attempt_needs
    {
        /** Searchers that are not to be used again. */
        std::span<const std::shared_ptr<searcher>> tried_searchers;
        /** Only searchers that are believed to answer at once. */
        bool requires_idle = false;
    };

    /** @param data_centre  data centre of this instance
        @param seed         seed of the choice between equal replicas */
    replica_selector(std::string data_centre, std::uint64_t seed);

    /** Selects a searcher. */
    selection choose(
        std::span<const std::shared_ptr<searcher>> replicas,
        const attempt_needs& needs,
        time_point now);

private:
    double cost(const searcher& candidate, time_point now);

    std::string data_centre_;
    std::mt19937_64 random_;
};

} // namespace turmericlane
