#include <turmericlane_forwarding/turmericlane_forwarding.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <vector>

using namespace turmericlane;
using namespace std::chrono_literals;

namespace
{

constexpr auto work_time = 10ms;
constexpr double slots = 30.0;
/** Requests that a data centre serves in a second. */
constexpr double capacity = slots / 0.010;

/** Data centres of equal size whose requests flow like a liquid. Each has
    instances that all observe the same and decide alike. */
class fluid_fleet
{
public:
    /** Demand by data centre and time, relative to the capacity. */
    using demand_function = std::function<double(std::size_t, double)>;

    fluid_fleet(
        std::size_t data_centres,
        std::size_t instances,
        demand_function demand,
        duration price = duration::zero(),
        bool is_balanced = true)
        : demand_(std::move(demand))
        , instances_(instances)
        , is_balanced_(is_balanced)
        , places_(data_centres)
    {
        for (auto& it : places_)
            it.balances.assign(
                instances, std::vector<data_centre_balance>(
                               data_centres, data_centre_balance(price)));
    }

    void run_for(double seconds)
    {
        const auto end = time_ + seconds;
        while (time_ < end)
            step();
    }

    /** Returns the share that all instances of a data centre send away. */
    double share(std::size_t from) const
    {
        auto sum = 0.0;
        for (std::size_t to = 0; to < places_.size(); ++to)
            sum += share(from, to);
        return sum;
    }

    double share(std::size_t from, std::size_t to) const
    {
        if (from == to || !is_balanced_)
            return 0.0;
        auto sum = 0.0;
        for (const auto& it : places_[from].balances)
            sum += it[to].share();
        return sum / static_cast<double>(instances_);
    }

    double load(std::size_t place) const
    {
        return places_[place].load;
    }

    balance_reason reason(std::size_t from, std::size_t to) const
    {
        return places_[from].balances.front()[to].reason();
    }

    /** Round trip between data centres. */
    duration distance = 1ms;
    /** Changes the state in which a destination is seen. */
    std::function<void(data_centre_state&)> change_outside;
    /** Sum of the requests that waited, over all ticks. */
    double total_waiting = 0.0;

private:
    struct place
    {
        std::vector<std::vector<data_centre_balance>> balances;
        double waiting = 0.0;
        double load = 0.0;
        /** As the instances see it: smoothed. */
        double seen_load = 0.0;
    };

    void step()
    {
        constexpr double tick = 0.01;
        time_ += tick;
        for (std::size_t i = 0; i < places_.size(); ++i)
        {
            auto arrivals = demand_(i, time_) * (1.0 - share(i));
            for (std::size_t k = 0; k < places_.size(); ++k)
                arrivals += demand_(k, time_) * share(k, i);
            auto& it = places_[i];
            it.waiting =
                std::max(0.0, it.waiting + (arrivals - 1.0) * capacity * tick);
            it.load = std::min(arrivals, 1.0) + it.waiting / slots;
            total_waiting += it.waiting;
        }
        for (auto& it : places_)
            it.seen_load += (it.load - it.seen_load) * 0.1;
        if (!is_balanced_)
            return;
        for (std::size_t i = 0; i < places_.size(); ++i)
        {
            for (std::size_t k = 0; k < instances_; ++k)
                decide(i, k);
        }
    }

    void decide(std::size_t from, std::size_t instance)
    {
        const auto now =
            time_point{1h} + std::chrono::duration_cast<duration>(
                                 std::chrono::duration<double>(time_));
        auto& balances = places_[from].balances[instance];
        service_demand demand;
        demand.work_time = work_time;
        demand.request_rate =
            demand_(from, time_) * capacity / static_cast<double>(instances_);
        demand.instances = static_cast<std::uint32_t>(instances_);
        for (std::size_t to = 0; to < places_.size(); ++to)
        {
            if (to == from)
                continue;
            demand.other_share = 0.0;
            for (std::size_t k = 0; k < places_.size(); ++k)
            {
                if (k != to && k != from)
                    demand.other_share += balances[k].share();
            }
            balances[to].update(
                demand, state(from, from), state(to, from), now);
        }
    }

    data_centre_state state(std::size_t seen, std::size_t from) const
    {
        data_centre_state result;
        result.slots = slots;
        result.load = places_[seen].seen_load;
        result.is_load_known = true;
        if (seen != from)
            result.distance = distance;
        if (seen != from && change_outside)
            change_outside(result);
        return result;
    }

    demand_function demand_;
    std::size_t instances_;
    bool is_balanced_;
    std::vector<place> places_;
    double time_ = 0.0;
};

data_centre_state make_state(double load, duration distance = {})
{
    data_centre_state result;
    result.slots = slots;
    result.load = load;
    result.is_load_known = true;
    result.distance = distance;
    return result;
}

/** Returns the demand of one instance of ten that get 1.5 times the
    capacity. */
service_demand make_demand()
{
    service_demand result;
    result.work_time = work_time;
    result.request_rate = 0.15 * capacity;
    result.instances = 10;
    return result;
}

/** Lets a decision observe the same for two seconds. */
void settle(
    data_centre_balance& balance,
    const data_centre_state& inside,
    const data_centre_state& outside,
    time_point& now)
{
    for (int i = 0; i < 100; ++i)
    {
        now += 20ms;
        balance.update(make_demand(), inside, outside, now);
    }
}

} // namespace

// Load: one data centre at 1.7 times its capacity beside two at half of
// theirs. Guards against requests that wait while others have free searchers,
// and against destinations that get more than they can serve.
TEST_CASE("an overloaded data centre sends what others have room for")
{
    const auto demand = [](std::size_t place, double)
    { return place == 0 ? 1.7 : 0.5; };
    fluid_fleet fleet(3, 10, demand);
    fleet.run_for(10.0);
    auto least_share = 1.0;
    auto largest_share = 0.0;
    for (int i = 0; i < 100; ++i)
    {
        fleet.run_for(0.1);
        least_share = std::min(least_share, fleet.share(0));
        largest_share = std::max(largest_share, fleet.share(0));
        CHECK(fleet.load(0) < 2.0);
        for (std::size_t k = 1; k < 3; ++k)
        {
            CHECK(fleet.load(k) <= 1.0);
            CHECK(fleet.share(k) == 0.0);
        }
    }
    MESSAGE("share sent out: ", least_share, " to ", largest_share);
    // 0.7 of 1.7 has to leave.
    CHECK(least_share > 0.3);
    CHECK(largest_share < 0.55);
    CHECK(fleet.reason(0, 1) == balance_reason::outside_faster);
}

// Guards against traffic that moves load from one full data centre to another.
TEST_CASE("nothing moves between equally loaded data centres")
{
    auto level = 0.0;
    SUBCASE("below their capacity")
    {
        level = 0.8;
    }
    SUBCASE("at their capacity")
    {
        level = 1.0;
    }
    SUBCASE("above their capacity")
    {
        level = 1.2;
    }
    fluid_fleet fleet(3, 10, [level](std::size_t, double) { return level; });
    for (int i = 0; i < 100; ++i)
    {
        fleet.run_for(0.1);
        for (std::size_t k = 0; k < 3; ++k)
            CHECK(fleet.share(k) == 0.0);
    }
    CHECK(fleet.reason(0, 1) == balance_reason::inside_faster);
}

// Load: demand in waves of opposite phase with a swing of 0.55. Guards against
// shares that lag so far behind that they do harm.
TEST_CASE("waves of opposite phase are levelled out")
{
    const auto demand = [](std::size_t place, double time)
    {
        const auto sign = place == 0 ? 1.0 : -1.0;
        return 0.8 * (1.0 + sign * 0.55 * std::sin(time * 2.0 * M_PI / 20.0));
    };
    fluid_fleet balanced(2, 10, demand);
    fluid_fleet separate(2, 10, demand, duration::zero(), false);
    balanced.run_for(60.0);
    separate.run_for(60.0);
    MESSAGE(
        "waiting requests, sum over ticks: ", separate.total_waiting,
        " without, ", balanced.total_waiting, " with balancing");
    CHECK(balanced.total_waiting < separate.total_waiting / 10.0);
    // At the end of a whole wave both have less than their capacity.
    CHECK(balanced.load(0) <= 1.0);
    CHECK(balanced.load(1) <= 1.0);
}

// Guards against instances that all leave and all return in turn.
TEST_CASE("the share of many instances that decide alike stays steady")
{
    const auto demand = [](std::size_t place, double)
    { return place == 0 ? 1.4 : 0.5; };
    fluid_fleet fleet(2, 30, demand);
    fleet.run_for(10.0);
    auto least_share = 1.0;
    auto largest_share = 0.0;
    for (int i = 0; i < 2000; ++i)
    {
        fleet.run_for(0.01);
        least_share = std::min(least_share, fleet.share(0));
        largest_share = std::max(largest_share, fleet.share(0));
        CHECK(fleet.load(1) <= 1.0);
    }
    MESSAGE("share sent out: ", least_share, " to ", largest_share);
    CHECK(largest_share - least_share <= 0.11);
    CHECK(least_share > 0.15);
}

// Guards against requests on a link that has become slower than waiting, and
// against a link that stays unused although waiting has become longer.
TEST_CASE("the share drops at once on a link that becomes slow")
{
    const auto demand = [](std::size_t place, double)
    { return place == 0 ? 1.4 : 0.3; };
    fluid_fleet fleet(2, 10, demand);
    fleet.distance = 500us;
    fleet.run_for(5.0);
    REQUIRE(fleet.share(0) > 0.2);
    fleet.distance = 20ms;
    fleet.run_for(0.005);
    CHECK(fleet.share(0) == 0.0);
    CHECK(fleet.reason(0, 1) == balance_reason::slow);
    fleet.run_for(0.5);
    CHECK(fleet.share(0) == 0.0);
    fleet.run_for(10.0);
    // Waiting takes as long as the link.
    CHECK(fleet.load(0) > 2.0);
    CHECK(fleet.load(0) < 4.5);
    fleet.distance = 500us;
    fleet.run_for(5.0);
    CHECK(fleet.load(0) < 1.5);
}

// Guards against a step that waits for its interval while requests are sent
// into trouble.
TEST_CASE("the share drops at once if the destination is in trouble")
{
    const auto demand = [](std::size_t place, double)
    { return place == 0 ? 1.4 : 0.3; };
    fluid_fleet fleet(2, 10, demand);
    fleet.run_for(5.0);
    REQUIRE(fleet.share(0) > 0.2);
    auto expected_reason = balance_reason::slow;
    SUBCASE("its work takes several times as long")
    {
        fleet.change_outside = [](data_centre_state& it)
        { it.work_time_factor = 4.0; };
    }
    SUBCASE("it is cold")
    {
        fleet.change_outside = [](data_centre_state& it) { it.is_cold = true; };
        expected_reason = balance_reason::cold;
    }
    SUBCASE("it is evacuated")
    {
        fleet.change_outside = [](data_centre_state& it)
        { it.is_evacuated = true; };
        expected_reason = balance_reason::evacuated;
    }
    SUBCASE("none of its searchers is usable")
    {
        fleet.change_outside = [](data_centre_state& it) { it.slots = 0.0; };
        expected_reason = balance_reason::unreachable;
    }
    fleet.run_for(0.005);
    CHECK(fleet.share(0) == 0.0);
    CHECK(fleet.reason(0, 1) == expected_reason);
}

// Guards against requests to a destination whose own demand has grown.
TEST_CASE("the share ends when the destination is full")
{
    const auto demand = [](std::size_t place, double time) {
        return place == 0 ? 1.4 : time < 5.0 ? 0.3 : 1.3;
    };
    fluid_fleet fleet(2, 10, demand);
    fleet.run_for(5.0);
    REQUIRE(fleet.share(0) > 0.2);
    fleet.run_for(1.0);
    CHECK(fleet.share(0) == 0.0);
    fleet.run_for(1.0);
    CHECK(fleet.reason(0, 1) == balance_reason::no_room);
}

// Guards against traffic that costs more than the time it saves.
TEST_CASE("nothing is sent at a price that no saved time is worth")
{
    const auto demand = [](std::size_t place, double)
    { return place == 0 ? 1.1 : 0.2; };
    fluid_fleet fleet(2, 10, demand, 1h);
    for (int i = 0; i < 50; ++i)
    {
        fleet.run_for(0.1);
        CHECK(fleet.share(0) == 0.0);
    }
    CHECK(fleet.reason(0, 1) == balance_reason::price);
}

// Guards against a whole share for a destination of which nothing is known.
TEST_CASE("a destination of unknown load gets a small share")
{
    data_centre_balance balance(duration::zero());
    time_point now{1h};
    auto outside = make_state(0.0, 1ms);
    outside.is_load_known = false;
    settle(balance, make_state(6.0), outside, now);
    CHECK(balance.share() > 0.0);
    CHECK(balance.share() <= 0.05);
}
