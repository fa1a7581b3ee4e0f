#include <turmericlane_state/turmericlane_state.h>

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <xxhash.h>

using namespace turmericlane;

namespace
{

enum class store_rule
{
    higher_only,
    /** Deliberately wrong: what came last wins. */
    last_wins
};

enum class message_kind : std::uint8_t
{
    push,
    request,
    /** The platform's answer, which can be older than its last. */
    answer,
    seen
};

struct message
{
    message_kind what;
    std::uint64_t to = 0;
    std::uint64_t from = 0;
    std::uint64_t version = 0;
};

std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t both[] = {a, b};
    return XXH3_64bits(both, sizeof both);
}

std::uint64_t hash(const message& it)
{
    std::uint64_t fields[] = {
        static_cast<std::uint64_t>(it.what), it.to, it.from, it.version};
    return XXH3_64bits(fields, sizeof fields);
}

/** One instance: the spread of versions and a store with a rule. Nonces are 1
    and 2 and rise by 2 with a restart, so that the place follows from it. */
class instance final : public version_spread_actions
{
public:
    instance(
        std::uint64_t nonce,
        store_rule rule,
        const turmericlane::clock& time,
        std::vector<message>& wire)
        : spread({}, 1, time, *this)
        , nonce_(nonce)
        , rule_(rule)
        , wire_(wire)
    {
    }

    std::vector<std::uint64_t> sample(std::size_t) override
    {
        return {peer};
    }

    void push(std::uint64_t to, std::uint64_t version) override
    {
        wire_.push_back({message_kind::push, to, nonce_, version});
    }

    void request(std::uint64_t to, std::uint64_t in_force) override
    {
        wire_.push_back({message_kind::request, to, nonce_, in_force});
    }

    void store(std::uint64_t offered, std::uint64_t from)
    {
        bool taken = rule_ == store_rule::higher_only ? offered > version
                                                      : offered != version;
        if (!taken)
        {
            if (from != 0)
                spread.on_request_failed(from);
            return;
        }
        went_back = went_back || offered < version;
        version = offered;
        spread.on_version_in_force(offered, from);
    }

    void receive(const message& it)
    {
        switch (it.what)
        {
        case message_kind::push:
        case message_kind::answer:
            return store(it.version, it.from);
        case message_kind::request:
            if (version > it.version)
                push(it.from, version);
            return;
        case message_kind::seen:
            return spread.on_version_seen(it.from, it.version);
        }
    }

    version_spread spread;
    std::uint64_t peer = 0;
    std::uint64_t version = 0;
    bool went_back = false;
    /** Hash of all events that this process has seen, in order. */
    std::uint64_t history = 0;

    void note(std::uint64_t what)
    {
        history = mix(history, what);
    }

private:
    std::uint64_t nonce_;
    store_rule rule_;
    std::vector<message>& wire_;
};

/** Two instances and a platform with two versions that can answer with the
    older one; either one message lost and one doubled, or one crash and one
    pause during which all time-outs pass. */
class world
{
public:
    world(store_rule rule, bool faults)
        : rule_(rule)
        , crashes_(faults ? 1 : 0)
        , pauses_(faults ? 1 : 0)
        , drops_(faults ? 0 : 1)
        , doubles_(faults ? 0 : 1)
    {
        start(0, 1);
        start(1, 2);
    }

    std::vector<std::function<void(world&)>> steps() const
    {
        std::vector<std::function<void(world&)>> made;
        for (std::size_t n = 0; n < wire_.size(); ++n)
        {
            made.emplace_back([n](world& it) { it.deliver(n, false); });
            if (doubles_ > 0)
                made.emplace_back([n](world& it) { it.deliver(n, true); });
            if (drops_ > 0)
                made.emplace_back([n](world& it) { it.drop(n); });
        }
        if (published_ < 2)
            made.emplace_back([](world& it) { ++it.published_; });
        for (std::size_t place = 0; place < 2; ++place)
        {
            for (std::uint64_t v = 1; reads_ > 0 && v <= published_; ++v)
                made.emplace_back([=](world& it) { it.read(place, v); });
            if (heartbeats_ > 0)
                made.emplace_back([=](world& it) { it.heartbeat(place); });
            if (crashes_ > 0 && published_ > 0)
                made.emplace_back([=](world& it) { it.crash(place); });
            if (timers_ > 0)
                made.emplace_back([=](world& it) { it.timer(place); });
        }
        if (pauses_ > 0 && published_ > 0)
            made.emplace_back([](world& it) { it.pause(); });
        return made;
    }

    bool went_back() const
    {
        return places_[0]->went_back || places_[1]->went_back;
    }

    std::uint64_t fingerprint() const
    {
        std::uint64_t made = 0;
        // A sum does not depend on the order of the messages.
        for (const auto& it : wire_)
            made += hash(it);
        for (const auto& it : places_)
            made = mix(made, it->history);
        for (auto it :
             {published_, reads_, heartbeats_, crashes_, pauses_, timers_,
              drops_, doubles_})
            made = mix(made, it);
        return made;
    }

    bool at_rest() const
    {
        return wire_.empty();
    }

    /** Without further faults, contacts bring both to the higher version. */
    bool converges()
    {
        for (int n = 0; n < 20; ++n)
        {
            pause();
            timer(0);
            timer(1);
            heartbeat(0);
            heartbeat(1);
            while (!wire_.empty())
                deliver(0, false);
        }
        return places_[0]->version == places_[1]->version;
    }

private:
    void start(std::size_t place, std::uint64_t nonce)
    {
        nonces_[place] = nonce;
        places_[place] =
            std::make_unique<instance>(nonce, rule_, clock_, wire_);
        places_[place]->note(nonce);
        places_[place]->peer = nonces_[1 - place];
    }

    void deliver(std::size_t n, bool keep)
    {
        auto it = wire_[n];
        if (keep)
            --doubles_;
        else
            wire_.erase(wire_.begin() + static_cast<std::ptrdiff_t>(n));
        auto place = (it.to - 1) % 2;
        if (nonces_[place] != it.to)
            return;
        places_[place]->note(hash(it));
        places_[place]->receive(it);
    }

    void drop(std::size_t n)
    {
        --drops_;
        wire_.erase(wire_.begin() + static_cast<std::ptrdiff_t>(n));
    }

    void read(std::size_t place, std::uint64_t version)
    {
        --reads_;
        wire_.push_back({message_kind::answer, nonces_[place], 0, version});
    }

    void heartbeat(std::size_t place)
    {
        heartbeats_ -= heartbeats_ > 0 ? 1 : 0;
        wire_.push_back(
            {message_kind::seen, nonces_[1 - place], nonces_[place],
             places_[place]->version});
    }

    void crash(std::size_t place)
    {
        --crashes_;
        start(place, nonces_[place] + 2);
        places_[1 - place]->peer = nonces_[place];
        places_[1 - place]->note(1);
    }

    void pause()
    {
        pauses_ -= pauses_ > 0 ? 1 : 0;
        timers_ = 1;
        clock_.advance(std::chrono::minutes(1));
        for (auto& it : places_)
            it->note(2);
    }

    void timer(std::size_t place)
    {
        timers_ -= timers_ > 0 ? 1 : 0;
        places_[place]->note(3);
        places_[place]->spread.on_timer();
    }

    store_rule rule_;
    manual_clock clock_;
    std::vector<message> wire_;
    std::unique_ptr<instance> places_[2];
    std::uint64_t nonces_[2] = {1, 2};
    std::uint64_t published_ = 0;
    std::uint64_t reads_ = 2;
    std::uint64_t heartbeats_ = 1;
    std::uint64_t crashes_;
    std::uint64_t pauses_;
    std::uint64_t timers_ = 0;
    std::uint64_t drops_;
    std::uint64_t doubles_;
};

/** Visits every state once; a branch is reached again from the start. */
class explorer
{
public:
    explorer(store_rule rule, bool faults)
        : rule_(rule)
        , faults_(faults)
    {
        visit(again());
    }

    std::unordered_set<std::uint64_t> seen;
    bool went_back = false;
    std::size_t apart = 0;

private:
    std::unique_ptr<world> again() const
    {
        auto made = std::make_unique<world>(rule_, faults_);
        for (const auto& it : path_)
            it(*made);
        return made;
    }

    void visit(std::unique_ptr<world> here)
    {
        went_back = went_back || here->went_back();
        if (went_back || !seen.insert(here->fingerprint()).second)
            return;
        auto steps = here->steps();
        // Every state leads to one at rest, so that these suffice.
        if (here->at_rest() && !again()->converges())
            ++apart;
        for (const auto& it : steps)
        {
            if (!here)
                here = again();
            it(*here);
            path_.push_back(it);
            visit(std::move(here));
            path_.pop_back();
            here.reset();
            if (went_back)
                return;
        }
    }

    store_rule rule_;
    bool faults_;
    std::vector<std::function<void(world&)>> path_;
};

} // namespace

TEST_CASE("no interleaving takes a version back or leaves two instances apart")
{
    for (bool faults : {false, true})
    {
        explorer tested(store_rule::higher_only, faults);
        std::string name = faults ? "crash and pause" : "loss and double";
        MESSAGE(name << ": " << tested.seen.size() << " states");
        CHECK_FALSE(tested.went_back);
        CHECK(tested.apart == 0);
        CHECK(tested.seen.size() > 500);
    }
}

TEST_CASE("the exploration finds a store that takes what came last")
{
    explorer tested(store_rule::last_wins, false);
    CHECK(tested.went_back);
}
