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
    /** Deliberate fault: accepts any other version. */
    any_other
};

enum class message_kind : std::uint8_t
{
    push,
    request,
    /** The platform's answer, which may be older than the previous one. */
    answer,
    version_seen
};

struct message
{
    message_kind kind;
    std::uint64_t receiver = 0;
    std::uint64_t sender = 0;
    std::uint64_t version = 0;
};

std::uint64_t combine_hashes(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t hashes[] = {a, b};
    return XXH3_64bits(hashes, sizeof hashes);
}

std::uint64_t hash(const message& it)
{
    std::uint64_t fields[] = {
        static_cast<std::uint64_t>(it.kind), it.receiver, it.sender,
        it.version};
    return XXH3_64bits(fields, sizeof fields);
}

/** An instance with a version_spread and a simulated store of versions. The
    nonces of the two instances start at 1 and 2 and increase by 2 with each
    restart, so that the index of an instance follows from its nonce. */
class instance final : public version_spread_actions
{
public:
    instance(
        std::uint64_t nonce,
        store_rule rule,
        const turmericlane::clock& time,
        std::vector<message>& messages)
        : spread({}, 1, time, *this)
        , nonce_(nonce)
        , rule_(rule)
        , messages_(messages)
    {
    }

    std::vector<std::uint64_t> sample(std::size_t) override
    {
        return {peer};
    }

    void push(std::uint64_t receiver, std::uint64_t version) override
    {
        messages_.push_back({message_kind::push, receiver, nonce_, version});
    }

    void request(std::uint64_t receiver, std::uint64_t in_force) override
    {
        messages_.push_back(
            {message_kind::request, receiver, nonce_, in_force});
    }

    void accept(std::uint64_t offered_version, std::uint64_t sender)
    {
        bool is_accepted = rule_ == store_rule::higher_only
                               ? offered_version > version
                               : offered_version != version;
        if (!is_accepted)
        {
            if (sender != 0)
                spread.on_request_failed(sender);
            return;
        }
        has_version_decreased =
            has_version_decreased || offered_version < version;
        version = offered_version;
        spread.on_version_in_force(offered_version, sender);
    }

    void receive(const message& it)
    {
        switch (it.kind)
        {
        case message_kind::push:
        case message_kind::answer:
            return accept(it.version, it.sender);
        case message_kind::request:
            if (version > it.version)
                push(it.sender, version);
            return;
        case message_kind::version_seen:
            return spread.on_version_seen(it.sender, it.version);
        }
    }

    version_spread spread;
    std::uint64_t peer = 0;
    std::uint64_t version = 0;
    bool has_version_decreased = false;
    /** Hash of all events of this process, in order. */
    std::uint64_t history_hash = 0;

    void record_event(std::uint64_t event_hash)
    {
        history_hash = combine_hashes(history_hash, event_hash);
    }

private:
    std::uint64_t nonce_;
    store_rule rule_;
    std::vector<message>& messages_;
};

/** Simulates two instances and a platform with two versions, which may answer
    with the older one. Without faults, up to one message is lost and one is
    duplicated. With faults, up to one instance crashes, and there is up to one
    pause, during which all timeouts expire. */
class simulation
{
public:
    simulation(store_rule rule, bool has_faults)
        : rule_(rule)
        , crashes_(has_faults ? 1 : 0)
        , pauses_(has_faults ? 1 : 0)
        , drops_(has_faults ? 0 : 1)
        , duplicates_(has_faults ? 0 : 1)
    {
        start(0, 1);
        start(1, 2);
    }

    std::vector<std::function<void(simulation&)>> possible_steps() const
    {
        std::vector<std::function<void(simulation&)>> steps;
        for (std::size_t n = 0; n < messages_.size(); ++n)
        {
            steps.emplace_back([n](simulation& it) { it.deliver(n, false); });
            if (duplicates_ > 0)
                steps.emplace_back([n](simulation& it)
                                   { it.deliver(n, true); });
            if (drops_ > 0)
                steps.emplace_back([n](simulation& it) { it.drop(n); });
        }
        if (published_version_ < 2)
            steps.emplace_back([](simulation& it) { ++it.published_version_; });
        for (std::size_t index = 0; index < 2; ++index)
        {
            for (std::uint64_t version = 1;
                 reads_ > 0 && version <= published_version_; ++version)
                steps.emplace_back([=](simulation& it)
                                   { it.read(index, version); });
            if (heartbeats_ > 0)
                steps.emplace_back([=](simulation& it)
                                   { it.heartbeat(index); });
            if (crashes_ > 0 && published_version_ > 0)
                steps.emplace_back([=](simulation& it) { it.crash(index); });
            if (timers_ > 0)
                steps.emplace_back([=](simulation& it)
                                   { it.run_timer(index); });
        }
        if (pauses_ > 0 && published_version_ > 0)
            steps.emplace_back([](simulation& it) { it.pause(); });
        return steps;
    }

    bool has_version_decreased() const
    {
        return instances_[0]->has_version_decreased ||
               instances_[1]->has_version_decreased;
    }

    std::uint64_t fingerprint() const
    {
        std::uint64_t state_hash = 0;
        // A sum does not depend on the order of the messages.
        for (const auto& it : messages_)
            state_hash += hash(it);
        for (const auto& it : instances_)
            state_hash = combine_hashes(state_hash, it->history_hash);
        for (auto it :
             {published_version_, reads_, heartbeats_, crashes_, pauses_,
              timers_, drops_, duplicates_})
            state_hash = combine_hashes(state_hash, it);
        return state_hash;
    }

    bool is_idle() const
    {
        return messages_.empty();
    }

    /** Lets the instances exchange heartbeats without further faults. Returns
        true if they then have the same version. */
    bool converges()
    {
        for (int n = 0; n < 20; ++n)
        {
            pause();
            run_timer(0);
            run_timer(1);
            heartbeat(0);
            heartbeat(1);
            while (!messages_.empty())
                deliver(0, false);
        }
        return instances_[0]->version == instances_[1]->version;
    }

private:
    void start(std::size_t index, std::uint64_t nonce)
    {
        nonces_[index] = nonce;
        instances_[index] =
            std::make_unique<instance>(nonce, rule_, clock_, messages_);
        instances_[index]->record_event(nonce);
        instances_[index]->peer = nonces_[1 - index];
    }

    void deliver(std::size_t position, bool is_duplicated)
    {
        auto it = messages_[position];
        if (is_duplicated)
            --duplicates_;
        else
            messages_.erase(
                messages_.begin() + static_cast<std::ptrdiff_t>(position));
        auto index = (it.receiver - 1) % 2;
        if (nonces_[index] != it.receiver)
            return;
        instances_[index]->record_event(hash(it));
        instances_[index]->receive(it);
    }

    void drop(std::size_t position)
    {
        --drops_;
        messages_.erase(
            messages_.begin() + static_cast<std::ptrdiff_t>(position));
    }

    void read(std::size_t index, std::uint64_t version)
    {
        --reads_;
        messages_.push_back({message_kind::answer, nonces_[index], 0, version});
    }

    void heartbeat(std::size_t index)
    {
        heartbeats_ -= heartbeats_ > 0 ? 1 : 0;
        messages_.push_back(
            {message_kind::version_seen, nonces_[1 - index], nonces_[index],
             instances_[index]->version});
    }

    void crash(std::size_t index)
    {
        --crashes_;
        start(index, nonces_[index] + 2);
        instances_[1 - index]->peer = nonces_[index];
        instances_[1 - index]->record_event(1);
    }

    void pause()
    {
        pauses_ -= pauses_ > 0 ? 1 : 0;
        timers_ = 1;
        clock_.advance(std::chrono::minutes(1));
        for (auto& it : instances_)
            it->record_event(2);
    }

    void run_timer(std::size_t index)
    {
        timers_ -= timers_ > 0 ? 1 : 0;
        instances_[index]->record_event(3);
        instances_[index]->spread.on_timer();
    }

    store_rule rule_;
    manual_clock clock_;
    std::vector<message> messages_;
    std::unique_ptr<instance> instances_[2];
    std::uint64_t nonces_[2] = {1, 2};
    std::uint64_t published_version_ = 0;
    std::uint64_t reads_ = 2;
    std::uint64_t heartbeats_ = 1;
    std::uint64_t crashes_;
    std::uint64_t pauses_;
    std::uint64_t timers_ = 0;
    std::uint64_t drops_;
    std::uint64_t duplicates_;
};

/** Depth-first search through all states. States are not copied: to go back to
    a state, its steps are repeated from the start. */
class explorer
{
public:
    explorer(store_rule rule, bool has_faults)
        : rule_(rule)
        , has_faults_(has_faults)
    {
        visit(replay_path());
    }

    std::unordered_set<std::uint64_t> visited_states;
    bool has_version_decreased = false;
    /** Number of idle states from which the instances keep different versions.
     */
    std::size_t diverged_count = 0;

private:
    std::unique_ptr<simulation> replay_path() const
    {
        auto replayed_simulation =
            std::make_unique<simulation>(rule_, has_faults_);
        for (const auto& it : path_)
            it(*replayed_simulation);
        return replayed_simulation;
    }

    void visit(std::unique_ptr<simulation> current_simulation)
    {
        has_version_decreased = has_version_decreased ||
                                current_simulation->has_version_decreased();
        if (has_version_decreased ||
            !visited_states.insert(current_simulation->fingerprint()).second)
            return;
        auto steps = current_simulation->possible_steps();
        // Every state leads to an idle one, so checking the idle ones is
        // enough.
        if (current_simulation->is_idle() && !replay_path()->converges())
            ++diverged_count;
        for (const auto& it : steps)
        {
            if (!current_simulation)
                current_simulation = replay_path();
            it(*current_simulation);
            path_.push_back(it);
            visit(std::move(current_simulation));
            path_.pop_back();
            current_simulation.reset();
            if (has_version_decreased)
                return;
        }
    }

    store_rule rule_;
    bool has_faults_;
    std::vector<std::function<void(simulation&)>> path_;
};

} // namespace

TEST_CASE("no schedule lowers a version or leaves two instances with different "
          "versions")
{
    for (bool has_faults : {false, true})
    {
        explorer search(store_rule::higher_only, has_faults);
        std::string name =
            has_faults ? "crash and pause" : "loss and duplicate";
        MESSAGE(name << ": " << search.visited_states.size() << " states");
        CHECK_FALSE(search.has_version_decreased);
        CHECK(search.diverged_count == 0);
        CHECK(search.visited_states.size() > 500);
    }
}

TEST_CASE("the exploration detects a store that accepts lower versions")
{
    explorer search(store_rule::any_other, false);
    CHECK(search.has_version_decreased);
}
