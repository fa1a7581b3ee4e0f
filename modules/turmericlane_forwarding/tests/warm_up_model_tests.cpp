#include <turmericlane_forwarding/turmericlane_forwarding.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <numeric>

using namespace turmericlane;
using namespace std::chrono_literals;

namespace
{

enum class step : std::uint8_t
{
    /** The searcher says that it is cold for two seconds. */
    cold,
    /** Nothing happens: a cold searcher may become warm. */
    wait,
    /** An instance joins. */
    join,
    /** The first instance ends. */
    leave,
    /** The order of the instances is reversed, as when an evacuation changes
        which data centres are near the searchers. */
    reorder,
    /** Every second instance loses sight of the first two others, or sees them
        again. */
    disagree
};

constexpr step all_steps[] = {step::cold,  step::wait,    step::join,
                              step::leave, step::reorder, step::disagree};
constexpr auto tick = 50ms;
constexpr auto step_time = 1500ms;
constexpr auto update_interval = 500ms;
constexpr auto cold_time = 2s;
constexpr std::size_t initial_count = 12;

/** Instances that send to one searcher whenever they may. */
class fleet_model
{
public:
    /** @param is_one_half_late  true if half of the instances learn of changes
                                 2 s after the others; otherwise they learn of
                                 them one after the other */
    fleet_model(double rate, bool is_one_half_late)
        : rate_(rate)
        , is_one_half_late_(is_one_half_late)
    {
        for (std::size_t i = 0; i < initial_count; ++i)
            add_instance();
        run_for(5s);
    }

    void apply(step next)
    {
        switch (next)
        {
        case step::cold:
            if (now_ >= cold_end_)
                arrivals_.clear();
            cold_end_ = now_ + cold_time;
            for (auto& it : instances_)
                it.pacer.on_cold_until(cold_end_);
            break;
        case step::wait:
            break;
        case step::join:
            add_instance();
            break;
        case step::leave:
            instances_.erase(instances_.begin());
            record_change();
            break;
        case step::reorder:
            is_reversed_ = !is_reversed_;
            record_change();
            break;
        case step::disagree:
            is_disagreeing_ = !is_disagreeing_;
            break;
        }
        run_for(step_time);
    }

    /** Largest number of requests in a second in which the searcher was
        cold. */
    std::size_t worst_count() const
    {
        return worst_count_;
    }

    /** Requests that were sent while it was cold. */
    std::size_t cold_requests() const
    {
        return cold_requests_;
    }

private:
    struct instance
    {
        explicit instance(std::uint64_t nonce)
            : id(nonce)
            , share(nonce)
        {
        }

        std::uint64_t id;
        warm_up_share share;
        warm_up_pacer pacer;
    };

    struct fleet_change
    {
        time_point time;
        std::vector<std::uint64_t> members;
    };

    void add_instance()
    {
        instances_.emplace_back(++last_id_);
        auto& added = instances_.back();
        added.pacer.set_rate(rate_);
        added.pacer.on_cold_until(cold_end_);
        record_change();
    }

    void record_change()
    {
        fleet_change change;
        change.time = now_;
        // New instances come first or last, so that they displace holders or
        // not.
        for (auto it = instances_.rbegin(); it != instances_.rend(); ++it)
            change.members.push_back(it->id);
        if (is_reversed_)
            std::reverse(change.members.begin(), change.members.end());
        fleet_changes_.push_back(std::move(change));
    }

    /** The instances learn of a change after 0 to 2 s. */
    duration delay_of(const instance& observer) const
    {
        if (is_one_half_late_)
            return observer.id <= initial_count / 2 ? 0s : 2s;
        return observer.id % 5 * 500ms;
    }

    void update(instance& observer)
    {
        const auto* latest = &fleet_changes_.front();
        for (const auto& it : fleet_changes_)
        {
            if (it.time + delay_of(observer) <= now_)
                latest = &it;
        }
        auto members = latest->members;
        if (std::find(members.begin(), members.end(), observer.id) ==
            members.end())
            members.insert(members.begin(), observer.id);
        if (is_disagreeing_ && observer.id % 2 == 0)
        {
            for (int i = 0; i < 2; ++i)
            {
                const auto other = std::find_if(
                    members.begin(), members.end(),
                    [&](std::uint64_t it) { return it != observer.id; });
                if (other != members.end())
                    members.erase(other);
            }
        }
        const auto live_count = members.size();
        observer.share.on_fleet(
            {std::move(members), live_count, initial_count}, now_);
        observer.pacer.set_limit(
            observer.share.limit("searcher", rate_, now_), now_ + 1500ms);
    }

    void run_for(duration time_span)
    {
        const auto end = now_ + time_span;
        for (; now_ < end; now_ += tick)
        {
            if (now_.time_since_epoch() % update_interval == duration::zero())
            {
                for (auto& it : instances_)
                    update(it);
            }
            const auto is_cold = now_ < cold_end_;
            for (auto& it : instances_)
            {
                // Each has more work than a cold searcher can handle.
                for (int i = 0; i < 12 && it.pacer.allows_request(now_); ++i)
                {
                    it.pacer.on_request_sent(now_);
                    if (is_cold)
                        arrivals_.push_back(now_);
                }
            }
            while (!arrivals_.empty() && now_ - arrivals_.front() > 1s)
                arrivals_.pop_front();
            if (is_cold)
                worst_count_ = std::max(worst_count_, arrivals_.size());
            cold_requests_ += is_cold ? arrivals_.size() : 0;
        }
    }

    double rate_;
    bool is_one_half_late_;
    time_point now_{100s};
    time_point cold_end_{};
    std::deque<instance> instances_;
    std::vector<fleet_change> fleet_changes_;
    bool is_disagreeing_ = false;
    bool is_reversed_ = false;
    std::uint64_t last_id_ = 0;
    std::deque<time_point> arrivals_;
    std::size_t worst_count_ = 0;
    std::size_t cold_requests_ = 0;
};

} // namespace

// Guards against an order of events, such as a searcher that becomes cold again
// while instances join or leave, in which a cold searcher gets more than it can
// handle.
TEST_CASE("no short sequence of events exceeds the bound of a cold searcher")
{
    constexpr int length = 4;
    const auto step_count = static_cast<int>(std::size(all_steps));
    auto is_one_half_late = false;
    SUBCASE("instances learn of changes one after the other")
    {
        is_one_half_late = false;
    }
    SUBCASE("half of the instances learn of changes late")
    {
        is_one_half_late = true;
    }
    for (const auto rate : {0.5, 4.0, 20.0, 60.0})
    {
        CAPTURE(rate);
        const auto bound = static_cast<std::size_t>(rate * 1.5 + 5.0);
        std::size_t worst_count = 0;
        std::size_t cold_requests = 0;
        int combinations = 1;
        for (int i = 0; i < length; ++i)
            combinations *= step_count;
        for (int code = 0; code < combinations; ++code)
        {
            fleet_model model(rate, is_one_half_late);
            auto rest = code;
            for (int i = 0; i < length; ++i, rest /= step_count)
                model.apply(all_steps[rest % step_count]);
            if (model.worst_count() > bound)
                FAIL_CHECK(
                    "sequence ", code, ": ", model.worst_count(),
                    " requests in a second, bound ", bound);
            worst_count = std::max(worst_count, model.worst_count());
            cold_requests += model.cold_requests();
        }
        CHECK(cold_requests > 0);
        MESSAGE(
            "rate ", rate, ": at most ", worst_count, " requests, bound ",
            bound);
    }
}
