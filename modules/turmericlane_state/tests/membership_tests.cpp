#include "../tools/fleet.h"

#include <doctest/doctest.h>
#include <set>

using namespace turmericlane;
using namespace turmericlane::tools;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/** Keeps what a single table sends, for tests of one instance. */
class recorder final : public membership_actions
{
public:
    void send(const endpoint& to, const membership_message& message) override
    {
        sent.emplace_back(to, message);
    }

    void changed(const member& value) override
    {
        changes.push_back(value);
    }

    void paused(duration) override
    {
        ++pauses;
    }

    std::vector<std::pair<endpoint, membership_message>> sent;
    std::vector<member> changes;
    int pauses = 0;
};

member make_member(ordinal index, std::uint64_t nonce)
{
    member made;
    made.where = {"10.0.0." + std::to_string(index), 7000, 8000};
    made.data_centre = index % 2 == 0 ? "kingston" : "montego";
    made.index = index;
    made.nonce = nonce;
    return made;
}

/** One table with peers that the test plays. */
struct single
{
    single()
        : tested(make_member(0, 100), limits, 1, time, actions)
    {
    }

    void hear(
        const member& sender,
        const std::vector<member>& members = {},
        const std::vector<suspicion>& suspicions = {})
    {
        membership_message made;
        made.sender = sender;
        made.members = members;
        made.suspicions = suspicions;
        tested.on_message(made);
    }

    /** Lets time pass in steps that are no pause. */
    void pass(duration span)
    {
        for (; span > duration::zero(); span -= milliseconds(500))
        {
            time.advance(milliseconds(500));
            tested.on_timer();
        }
    }

    member_state state(std::uint64_t nonce)
    {
        return tested.find_nonce(nonce)->state;
    }

    manual_clock time;
    recorder actions;
    membership_limits limits;
    membership_table tested;
};

fleet_options small(std::uint64_t seed)
{
    fleet_options made;
    made.instance_count = 6;
    made.data_centre_count = 2;
    made.seed = seed;
    return made;
}

/** Starts all nodes; each reads the list and the platform once. */
void start_all(fleet& tested, std::size_t nodes)
{
    for (std::size_t n = 0; n < nodes; ++n)
        tested.start(n);
    for (std::size_t n = 0; n < nodes; ++n)
    {
        tested.read_list(n);
        tested.read_platform(n);
    }
}

} // namespace

TEST_CASE("one reporter alone makes no member suspect in a fleet of three")
{
    single it;
    it.hear(make_member(1, 101));
    it.hear(make_member(2, 102), {}, {{102, 101, 0}});
    it.hear(make_member(2, 102), {}, {{102, 101, 0}});
    CHECK(it.state(101) == member_state::live);
    it.hear(make_member(3, 103), {}, {{103, 101, 0}});
    CHECK(it.state(101) == member_state::suspect);
}

TEST_CASE("in a fleet of two the only reporter suffices")
{
    single it;
    it.hear(make_member(1, 101));
    it.pass(seconds(4));
    CHECK(it.state(101) == member_state::suspect);
    it.pass(seconds(6));
    CHECK(it.state(101) == member_state::gone);
    CHECK(it.tested.live_count() == 1);
    CHECK_FALSE(it.tested.find(1));
}

TEST_CASE("old reports and reports about an earlier incarnation do not count")
{
    single it;
    auto refuted = make_member(1, 101);
    refuted.incarnation = 2;
    it.hear(refuted);
    it.hear(make_member(2, 102), {}, {{102, 101, 1}});
    it.hear(make_member(3, 103), {}, {{103, 101, 1}});
    CHECK(it.state(101) == member_state::live);
    it.hear(make_member(2, 102), {}, {{102, 101, 2}});
    for (int n = 0; n < 30; ++n)
    {
        it.time.advance(milliseconds(500));
        it.hear(refuted);
    }
    it.tested.on_timer();
    it.hear(make_member(3, 103), {}, {{103, 101, 2}});
    CHECK(it.state(101) == member_state::live);
}

TEST_CASE("a suspect refutes with a higher incarnation and stays leaving")
{
    single it;
    it.tested.start_leaving();
    it.hear(make_member(1, 101), {}, {{101, 100, 0}});
    CHECK(it.tested.self().incarnation == 1);
    auto accused = it.tested.self();
    accused.state = member_state::gone;
    it.hear(make_member(1, 101), {accused});
    CHECK(it.tested.self().incarnation == 2);
    CHECK(it.tested.self().state == member_state::leaving);
    auto last = it.actions.sent.back().second.sender;
    CHECK(last.incarnation == 2);
}

TEST_CASE("a suspect is told at its next contact, so that it can refute")
{
    single it;
    auto peer = make_member(1, 101);
    it.hear(peer);
    auto accused = peer;
    accused.state = member_state::suspect;
    it.hear(make_member(2, 102), {accused});
    it.actions.sent.clear();
    it.hear(peer);
    bool told = false;
    for (const auto& reply : it.actions.sent)
        for (const auto& record : reply.second.members)
            told = told || record == accused;
    CHECK(told);
}

TEST_CASE("an older statement does not bring a gone member back")
{
    single it;
    auto peer = make_member(1, 101);
    it.hear(peer);
    auto gone = peer;
    gone.state = member_state::gone;
    it.hear(make_member(2, 102), {gone});
    CHECK(it.state(101) == member_state::gone);
    it.hear(make_member(3, 103), {peer});
    CHECK(it.state(101) == member_state::gone);
    peer.incarnation = 1;
    it.hear(make_member(3, 103), {peer});
    CHECK(it.state(101) == member_state::live);
}

TEST_CASE("a new nonce at an address replaces the old process")
{
    single it;
    it.hear(make_member(1, 101));
    it.hear(make_member(1, 201));
    CHECK(it.state(101) == member_state::gone);
    CHECK(it.tested.find(1)->nonce == 201);
    CHECK(it.tested.usable_nonce(1) == 201);
}

TEST_CASE("the list's leaving mark gives way to what the process says later")
{
    single it;
    auto peer = make_member(1, 101);
    it.hear(peer);
    it.time.advance(seconds(1));
    listed_instance listed{peer.where, peer.data_centre, 1, true};
    it.tested.on_list(std::span(&listed, 1));
    CHECK(it.tested.listed_as_leaving(peer.where));
    auto answer = make_instance_answer(it.tested, {}, 0, {});
    CHECK(answer.instances.size() == 1);
    it.time.advance(seconds(1));
    it.hear(peer);
    it.tested.on_list(std::span(&listed, 1));
    CHECK_FALSE(it.tested.listed_as_leaving(peer.where));
}

TEST_CASE("after a pause nobody is blamed and nothing old counts as fresh")
{
    single it;
    it.hear(make_member(1, 101));
    it.pass(seconds(1));
    it.time.advance(seconds(30));
    it.hear(make_member(1, 101));
    CHECK(it.actions.pauses == 1);
    CHECK_FALSE(it.tested.fresh());
    CHECK(it.state(101) == member_state::live);
    it.actions.sent.clear();
    it.tested.on_timer();
    REQUIRE(!it.actions.sent.empty());
    membership_message answer;
    answer.kind = membership_message::type::acknowledgement;
    answer.sender = make_member(1, 101);
    answer.sequence = it.actions.sent.back().second.sequence;
    it.tested.on_message(answer);
    CHECK(it.tested.fresh());
    CHECK(it.state(101) == member_state::live);
}

TEST_CASE("heartbeats and their changes stay bounded in a large fleet")
{
    single it;
    std::vector<member> many;
    for (ordinal n = 1; n <= 3000; ++n)
        many.push_back(make_member(n, 1000 + n));
    it.hear(make_member(1, 1001), many);
    CHECK(it.tested.live_count() == 3001);
    it.actions.sent.clear();
    it.time.advance(seconds(1));
    it.tested.on_timer();
    CHECK(it.actions.sent.size() == it.limits.targets);
    for (const auto& sent : it.actions.sent)
        CHECK(encoded_bytes(sent.second) < it.limits.change_bytes + 400);
}

// Guards against an exchange that doesn't fit into a datagram and never
// arrives.
TEST_CASE("exchanges of a large fleet go in parts that fit")
{
    const std::size_t most = 16'000;
    membership_limits limits;
    limits.exchange_bytes = most;
    limits.young_time = seconds(1000);
    limits.young_exchange_bytes_per_second = 50'000.0;
    manual_clock time;
    recorder one_sends;
    recorder two_sends;
    membership_table one(make_member(1, 1), limits, 1, time, one_sends);
    membership_table two(make_member(2, 2), limits, 2, time, two_sends);
    // Each knows the one half that the other doesn't.
    membership_message news;
    for (ordinal n = 10; n < 3010; ++n)
    {
        news.members = {make_member(n, 1000 + n * std::uint64_t{7919})};
        news.sender = news.members.front();
        (n % 2 == 0 ? one : two).on_message(news);
    }
    for (int round = 0; round < 200; ++round)
    {
        time.advance(seconds(1));
        one.on_timer();
        two.on_timer();
        membership_message hello;
        hello.sender = two.self();
        one.on_message(hello);
        hello.sender = one.self();
        two.on_message(hello);
        // Both hear all that the other sends, whomever it is for.
        for (int hop = 0; hop < 3; ++hop)
        {
            const auto first = std::exchange(one_sends.sent, {});
            const auto second = std::exchange(two_sends.sent, {});
            for (const auto& [to, message] : first)
            {
                CHECK(encoded_bytes(message) <= most);
                if (to == two.self().where)
                    two.on_message(message);
            }
            for (const auto& [to, message] : second)
            {
                CHECK(encoded_bytes(message) <= most);
                if (to == one.self().where)
                    one.on_message(message);
            }
        }
    }
    CHECK(one.members().size() == 3001);
    CHECK(two.members().size() == 3001);
}

TEST_CASE("two readers for each data centre, which move only if one leaves")
{
    single it;
    for (ordinal n = 1; n <= 9; ++n)
        it.hear(make_member(n, 100 + n));
    auto before = it.tested.readers("montego");
    REQUIRE(before.size() == 2);
    CHECK(before[0] % 2 == 1);
    auto leaving = make_member(before[0], 100 + before[0]);
    leaving.state = member_state::leaving;
    it.hear(leaving);
    auto after = it.tested.readers("montego");
    REQUIRE(after.size() == 2);
    CHECK(after[0] == before[1]);
    CHECK(it.tested.readers("nowhere").empty());
}

TEST_CASE("an answer names near instances first, spreads callers and keeps "
          "places for other data centres")
{
    single it;
    for (ordinal n = 1; n <= 40; ++n)
        it.hear(make_member(n, 100 + n));
    auto suspect = make_member(2, 102);
    suspect.state = member_state::suspect;
    it.hear(make_member(1, 101), {suspect});
    std::set<ordinal> first;
    for (std::uint64_t n = 0; n < 20; ++n)
    {
        auto answer = make_instance_answer(it.tested, {}, n, {});
        REQUIRE(answer.instances.size() == 16);
        first.insert(answer.instances.front().index);
        CHECK(answer.instances[11].data_centre == "kingston");
        CHECK(answer.instances[12].data_centre == "montego");
        for (const auto& named : answer.instances)
            CHECK(named.index != 2);
    }
    CHECK(first.size() == 20);
    it.tested.start_leaving();
    for (const auto& named :
         make_instance_answer(it.tested, {}, 0, {}).instances)
        CHECK(named.index != 0);
}

TEST_CASE("views agree after loss, doubles, crashes, pauses and a partition")
{
    std::uint64_t not_higher = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        CAPTURE(seed);
        auto options = small(seed);
        options.loss_rate = 0.05;
        options.duplicate_rate = 0.05;
        options.jitter = milliseconds(300);
        fleet tested(options);
        std::mt19937_64 random(seed);
        start_all(tested, options.instance_count);
        std::uint64_t version = 0;
        for (int n = 0; n < 12; ++n)
        {
            auto node = random() % options.instance_count;
            std::vector<std::uint64_t> before;
            switch (random() % 4)
            {
            case 0:
                tested.crash(node);
                tested.run_for(milliseconds(random() % 8000));
                tested.start(node);
                tested.read_list(node);
                tested.read_platform(node);
                break;
            case 1:
                tested.pause(node);
                tested.run_for(milliseconds(random() % 15000));
                tested.resume(node);
                break;
            case 2:
                tested.connect_if([node](std::size_t a, std::size_t b)
                                  { return (a <= node) == (b <= node); });
                tested.run_for(milliseconds(random() % 20000));
                tested.connect_if(nullptr);
                break;
            default:
                tested.publish(++version);
            }
            tested.run_for(milliseconds(random() % 3000));
        }
        tested.set_fault_rates(0.0, 0.0);
        tested.publish(++version);
        tested.run_for(seconds(30));
        CHECK(tested.has_converged());
        for (std::size_t n = 0; n < options.instance_count; ++n)
            CHECK(tested.version(n) == version);
        not_higher += tested.counts().refused_versions;
    }
    MESSAGE(
        "seeds 1 to 200: " << not_higher
                           << " versions refused as not "
                              "higher");
    CHECK(not_higher > 0);
}

TEST_CASE("a crashed instance is gone everywhere within 12 s")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        fleet tested(small(seed));
        start_all(tested, 6);
        tested.run_for(seconds(10));
        REQUIRE(tested.has_converged());
        tested.crash(3);
        tested.run_for(seconds(12));
        CHECK(tested.has_converged());
    }
}

// Guards against an instance that knows a part of the fleet for seconds after
// all were restarted: its callers were sent to other instances than the rest.
TEST_CASE("instances that start together know each other within 2 s")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        auto options = small(seed);
        options.instance_count = 87;
        options.membership.period = milliseconds(500);
        options.membership.targets = 2;
        options.membership.timeout = milliseconds(500);
        options.membership.exchange_bytes_per_second = 4000.0;
        options.membership.young_time = seconds(5);
        options.membership.young_exchange_bytes_per_second = 50'000.0;
        fleet tested(options);
        for (std::size_t n = 0; n < options.instance_count; ++n)
            tested.start(n);
        // Only three seeds are told to the others.
        std::vector<listed_instance> seeds(3);
        for (std::size_t n = 0; n < seeds.size(); ++n)
            seeds[n].where = tested.table(n).self().where;
        for (std::size_t n = 0; n < options.instance_count; ++n)
            tested.table(n).on_list(seeds);
        tested.run_for(seconds(2));
        for (std::size_t n = 0; n < options.instance_count; ++n)
            CHECK(tested.table(n).live_count() >= 80);
    }
}

TEST_CASE("both sides of a partition heal without the list")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        fleet tested(small(seed));
        start_all(tested, 6);
        tested.run_for(seconds(10));
        // Listed addresses would be contacted again in any case.
        for (std::size_t n = 0; n < 6; ++n)
            tested.table(n).on_list({});
        tested.connect_if([](std::size_t a, std::size_t b)
                          { return (a < 3) == (b < 3); });
        tested.run_for(seconds(120));
        CHECK(tested.table(0).live_count() == 3);
        tested.connect_if(nullptr);
        tested.run_for(seconds(20));
        CHECK(tested.has_converged());
    }
}

TEST_CASE("a version spreads while the platform is down, from the one that "
          "has it")
{
    fleet tested(small(7));
    start_all(tested, 5);
    tested.publish(4);
    tested.run_for(seconds(10));
    tested.set_platform_up(false);
    tested.start(5);
    tested.read_list(5);
    tested.read_platform(5);
    tested.run_for(seconds(5));
    CHECK(tested.version(5) == 4);
}
