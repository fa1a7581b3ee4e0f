#include <turmericlane_state/turmericlane_state.h>

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <memory>
#include <set>

using namespace turmericlane;
using namespace std::chrono_literals;

namespace
{

/** Store that answers a test's calls, and records them. */
struct scripted_reader : store_reader
{
    void read_page(const std::string& after, duration deadline) override
    {
        calls.push_back("page " + after);
        page_deadlines.push_back(deadline);
    }

    void watch(std::uint64_t revision, duration, duration) override
    {
        calls.push_back("watch " + std::to_string(revision));
    }

    std::vector<std::string> calls;
    std::vector<duration> page_deadlines;
};

struct recording_listener : store_listener
{
    void item_changed(const store_item& item) override
    {
        if (item.value)
            items[item.key] = *item.value;
        else
            items.erase(item.key);
    }

    void store_complete() override
    {
        ++completions;
    }

    void store_lost(store_failure) override
    {
        ++losses;
    }

    void store_returned() override
    {
        ++returns;
    }

    void store_settling(time_point until) override
    {
        settling_until = until;
    }

    void push(const feed_message& changes) override
    {
        pushed.push_back(changes);
    }

    void pull(const endpoint& peer, std::uint64_t after) override
    {
        pulls.emplace_back(peer, after);
    }

    std::map<std::string, std::string> items;
    std::vector<feed_message> pushed;
    std::vector<std::pair<endpoint, std::uint64_t>> pulls;
    time_point settling_until{};
    int completions = 0;
    int losses = 0;
    int returns = 0;
};

/** One instance that follows the store. */
struct instance
{
    explicit instance(const turmericlane::clock& time)
        : follower(time, reader, listener, 11)
    {
    }

    scripted_reader reader;
    recording_listener listener;
    store_follower follower;
};

store_answer
answer(std::uint64_t revision, std::vector<store_item> items, bool more = false)
{
    store_answer made;
    made.revision = revision;
    made.more = more;
    if (!items.empty())
        made.last_key = items.back().key;
    made.items = std::move(items);
    return made;
}

const endpoint peer{"10.0.0.2", 7740, 0};

} // namespace

// Guards against changes between two pages, which are not a snapshot.
TEST_CASE("a follower watches from the revision of the first page")
{
    manual_clock time;
    instance one(time);
    one.follower.start();
    one.follower.on_answer(answer(10, {{"a", 4, "1"}}, true));
    CHECK(one.listener.completions == 0);
    one.follower.on_answer(answer(13, {{"b", 12, "2"}}));
    CHECK(one.listener.completions == 1);
    CHECK(one.listener.items.size() == 2);
    CHECK(
        one.reader.calls ==
        std::vector<std::string>{"page ", "page a", "watch 10"});
}

// Guards against hundreds of calls when all instances start at once.
TEST_CASE("a follower that waits for peers reads only if none has a state")
{
    manual_clock time;
    SUBCASE("a peer has it")
    {
        instance one(time);
        one.follower.start(1s);
        time.advance(100ms);
        one.follower.on_peer(peer, 10, 5ms);
        time.advance(50ms);
        one.follower.on_timer();
        REQUIRE(one.listener.pulls.size() == 1);
        feed_message state;
        state.complete = true;
        state.through = 10;
        state.items = {{"a", 4, "1"}};
        one.follower.on_pulled(state);
        CHECK(one.listener.completions == 1);
        CHECK(one.reader.calls.empty());
    }
    SUBCASE("none answers")
    {
        instance one(time);
        one.follower.start(1s);
        CHECK(one.follower.next_wakeup() == time.now() + 1s);
        time.advance(990ms);
        one.follower.on_timer();
        CHECK(one.reader.calls.empty());
        time.advance(10ms);
        one.follower.on_timer();
        CHECK(one.reader.calls.size() == 1);
    }
}

TEST_CASE("lost history is replaced by a listing, which removes what is gone")
{
    manual_clock time;
    instance one(time);
    one.follower.start();
    one.follower.on_answer(answer(10, {{"a", 4, "1"}, {"b", 5, "2"}}));
    one.follower.on_failure(store_failure::history_lost);
    CHECK(one.reader.calls.back() == "page ");
    one.follower.on_answer(answer(20, {{"b", 5, "2"}}));
    CHECK(one.listener.items == std::map<std::string, std::string>{{"b", "2"}});
    CHECK(one.listener.losses == 0);
}

// Guards against the loss of every searcher after an outage of the store.
TEST_CASE("after an outage removals are put off")
{
    manual_clock time;
    instance one(time);
    one.follower.start();
    one.follower.on_answer(answer(10, {{"a", 4, "1"}}));
    one.follower.on_failure(store_failure::unreachable);
    one.follower.on_failure(store_failure::unreachable);
    CHECK(one.listener.losses == 1);
    time.advance(5s);
    one.follower.on_timer();
    one.follower.on_answer(answer(12, {{"a", 11, std::nullopt}}));
    CHECK(one.listener.returns == 1);
    CHECK(one.listener.settling_until >= time.now() + 2s);
    REQUIRE(one.listener.pushed.size() == 1);
    CHECK(one.listener.pushed.front().settling >= 2s);
}

TEST_CASE("without a state a silent store is asked again soon")
{
    // Guards against an instance that refuses for a second more after all were
    // restarted in an outage of the store, and against short deadlines that a
    // slow store never meets.
    manual_clock time;
    instance it(time);
    it.follower.start();
    std::vector<duration> gaps;
    for (int n = 0; n < 8; ++n)
    {
        const auto asked = time.now();
        time.advance(it.reader.page_deadlines.back());
        it.follower.on_failure(store_failure::unreachable);
        time.advance(
            std::max(duration::zero(), it.follower.next_wakeup() - time.now()));
        it.follower.on_timer();
        gaps.push_back(time.now() - asked);
    }
    REQUIRE(it.reader.calls.size() == 9);
    for (std::size_t n = 0; n < 3; ++n)
        CHECK(gaps[n] <= 300ms);
    for (std::size_t n = 3; n < 6; ++n)
        CHECK(gaps[n] <= 1000ms);
    CHECK(it.reader.page_deadlines.back() == 1200ms);
    it.follower.on_answer(answer(7, {{"a", 3, "x"}}));
    CHECK(it.listener.completions == 1);
    // A store that turns calls away at once is still asked less and less often.
    instance refused(time);
    refused.follower.start();
    for (int n = 0; n < 6; ++n)
    {
        refused.follower.on_failure(store_failure::refused);
        time.advance(refused.follower.next_wakeup() - time.now());
        refused.follower.on_timer();
    }
    refused.follower.on_failure(store_failure::refused);
    CHECK(refused.follower.next_wakeup() - time.now() >= 600ms);
}

TEST_CASE("failed calls back off")
{
    manual_clock time;
    instance one(time);
    one.follower.start();
    for (int i = 0; i < 12; ++i)
    {
        one.follower.on_failure(store_failure::refused);
        const auto due = one.follower.next_wakeup();
        CHECK(due > time.now());
        CHECK(due <= time.now() + 2s);
        time.advance_to(due);
        one.follower.on_timer();
    }
    CHECK(one.reader.calls.size() == 13);
}

// Guards against calls to the store by every instance of a large fleet.
TEST_CASE("only the first instances read; others learn from their peers")
{
    manual_clock time;
    instance one(time);
    one.follower.set_place(40, 58, 1000.0);
    one.follower.start();
    one.follower.on_answer(answer(10, {{"a", 4, "1"}}));
    CHECK(one.reader.calls.size() == 1);
    feed_message pushed;
    pushed.from = 10;
    pushed.through = 12;
    pushed.items = {{"b", 12, "2"}};
    one.follower.on_feed(pushed);
    CHECK(one.listener.items.size() == 2);
    CHECK(one.follower.through() == 12);
    // Peers confirm the state again and again.
    for (int i = 0; i < 40; ++i)
    {
        time.advance(500ms);
        one.follower.on_peer(peer, 12, 300ms);
        one.follower.on_timer();
    }
    CHECK(one.reader.calls.size() == 1);
}

// Guards against a stale instance when all readers are cut off or turned away.
TEST_CASE("an instance reads by itself when its state is not confirmed")
{
    manual_clock time;
    instance near(time);
    instance far(time);
    near.follower.set_place(3, 58, 1000.0);
    far.follower.set_place(57, 58, 1000.0);
    for (auto* it : {&near, &far})
    {
        it->follower.start();
        it->follower.on_answer(answer(10, {{"a", 4, "1"}}));
    }
    CHECK(near.follower.next_wakeup() < far.follower.next_wakeup());
    time.advance(4s);
    near.follower.on_timer();
    far.follower.on_timer();
    CHECK(near.reader.calls.back() == "watch 10");
    CHECK(far.reader.calls.size() == 1);
}

TEST_CASE("an instance that is behind pulls from the peer that is ahead")
{
    manual_clock time;
    instance one(time);
    one.follower.set_place(9, 58, 1000.0);
    one.follower.start();
    one.follower.on_answer(answer(10, {{"a", 4, "1"}}));
    one.follower.on_peer(peer, 15, 0ms);
    time.advance(100ms);
    one.follower.on_timer();
    REQUIRE(one.listener.pulls.size() == 1);
    CHECK(one.listener.pulls.front().first == peer);
    CHECK(one.listener.pulls.front().second == 10);
    // A push that does not begin where this state ends must not be taken.
    feed_message gap;
    gap.from = 14;
    gap.through = 15;
    gap.items = {{"z", 15, "9"}};
    one.follower.on_feed(gap);
    CHECK(one.follower.through() == 10);
    feed_message whole;
    whole.from = 10;
    whole.through = 15;
    whole.items = {{"b", 13, "2"}, {"z", 15, "9"}};
    one.follower.on_feed(whole);
    CHECK(one.follower.through() == 15);
    CHECK(one.listener.items.size() == 3);
}

// Guards against a second pull while the first one is under way.
TEST_CASE("a push does not end a pull")
{
    manual_clock time;
    instance one(time);
    one.follower.set_place(9, 58, 1000.0);
    one.follower.start();
    one.follower.on_answer(answer(10, {{"a", 4, "1"}}));
    one.follower.on_peer(peer, 15, 0ms);
    time.advance(100ms);
    one.follower.on_timer();
    REQUIRE(one.listener.pulls.size() == 1);
    feed_message pushed;
    pushed.from = 10;
    pushed.through = 12;
    one.follower.on_feed(pushed);
    one.follower.on_peer(peer, 15, 0ms);
    time.advance(100ms);
    one.follower.on_timer();
    CHECK(one.listener.pulls.size() == 1);
    feed_message pulled;
    pulled.from = 10;
    pulled.through = 15;
    one.follower.on_pulled(pulled);
    CHECK(one.follower.through() == 15);
    one.follower.on_peer(peer, 18, 0ms);
    time.advance(100ms);
    one.follower.on_timer();
    CHECK(one.listener.pulls.size() == 2);
}

TEST_CASE("a peer gets all that exists if removals were forgotten")
{
    manual_clock time;
    instance ahead(time);
    instance behind(time);
    ahead.follower.start();
    behind.follower.set_place(9, 58, 1000.0);
    behind.follower.start();
    ahead.follower.on_answer(answer(1, {{"keep", 1, "k"}}));
    behind.follower.on_answer(answer(1, {{"keep", 1, "k"}}));
    std::uint64_t revision = 1;
    for (int i = 0; i < 6000; ++i)
    {
        time.advance(100ms);
        ahead.follower.on_timer();
        const auto key = "s" + std::to_string(i);
        ++revision;
        ahead.follower.on_answer(answer(revision, {{key, revision, "x"}}));
        time.advance(100ms);
        ahead.follower.on_timer();
        ++revision;
        ahead.follower.on_answer(
            answer(revision, {{key, revision, std::nullopt}}));
    }
    const auto message = ahead.follower.feed_since(1);
    CHECK(message.complete);
    CHECK(message.items.size() == 1);
    behind.follower.on_feed(message);
    CHECK(behind.listener.items.size() == 1);
    CHECK(behind.follower.through() == revision);
    CHECK_FALSE(ahead.follower.feed_since(revision - 2).complete);
}

// Guards against states that differ for good after losses and reordering.
TEST_CASE("instances agree whatever order items and listings arrive in")
{
    const std::vector<store_item> items = {
        {"a", 3, "old"},
        {"a", 7, std::nullopt},
        {"b", 5, "b"},
        {"a", 9, "new"}};
    std::vector<std::size_t> order = {0, 1, 2, 3};
    do
    {
        item_table table;
        for (const auto it : order)
            table.apply(items[it]);
        table.apply_complete(std::vector<store_item>{{"b", 5, "b"}}, 8);
        const auto existing = table.existing();
        REQUIRE(existing.size() == 2);
        CHECK(existing[0].value == "new");
        CHECK(existing[1].value == "b");
    } while (std::next_permutation(order.begin(), order.end()));
}
