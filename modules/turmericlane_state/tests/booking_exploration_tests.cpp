#include "booking_world.h"

#include <doctest/doctest.h>
#include <unordered_set>

using namespace turmericlane;
using namespace turmericlane::testing;

namespace
{

enum class step_kind : std::uint8_t
{
    deliver,
    drop,
    double_up,
    send,
    crash,
    pause,
    timers
};

struct step
{
    step_kind what;
    std::size_t n = 0;
    bool other_payload = false;
};

/** What may still happen in an execution. */
struct budget
{
    std::size_t sends = 2;
    std::size_t drops = 1;
    std::size_t doubles = 1;
    std::size_t crashes = 1;
    std::size_t pauses = 1;
    std::size_t timers = 0;
};

/** One execution: two instances, a caller with a ticket of the first one. */
class execution
{
public:
    explicit execution(wrong_variant wrong, const budget& start)
        : world(2, wrong)
        , left(start)
        , permit(world.issue(0))
    {
    }

    std::vector<step> steps() const
    {
        std::vector<step> made;
        for (std::size_t n = 0; n < world.events().size(); ++n)
        {
            made.push_back({step_kind::deliver, n});
            if (left.drops > 0)
                made.push_back({step_kind::drop, n});
            if (left.doubles > 0 && world.can_double(n))
                made.push_back({step_kind::double_up, n});
        }
        for (std::size_t node = 0; node < 2; ++node)
        {
            if (left.sends > 0)
                made.push_back({step_kind::send, node});
            if (left.crashes > 0 && started_)
                made.push_back({step_kind::crash, node});
            if (left.timers > 0)
                made.push_back({step_kind::timers, node});
        }
        if (left.sends > 0 && started_)
            made.push_back({step_kind::send, 0, true});
        if (left.pauses > 0 && started_)
            made.push_back({step_kind::pause});
        return made;
    }

    void take(const step& it)
    {
        switch (it.what)
        {
        case step_kind::deliver:
            return world.deliver(it.n);
        case step_kind::drop:
            --left.drops;
            return world.drop(it.n);
        case step_kind::double_up:
            --left.doubles;
            return world.double_up(it.n);
        case step_kind::send:
            --left.sends;
            started_ = true;
            return world.send(it.n, permit, it.other_payload ? "b" : "a");
        case step_kind::crash:
            --left.crashes;
            return world.crash(it.n);
        case step_kind::pause:
            // Every timer and message that was due comes late.
            --left.pauses;
            left.timers = 1;
            return world.advance(booking_world::ticket_lifetime);
        case step_kind::timers:
            --left.timers;
            return world.timers(it.n);
        }
    }

    std::uint64_t fingerprint() const
    {
        auto made = world.fingerprint();
        for (auto it :
             {left.sends, left.drops, left.doubles, left.crashes, left.pauses,
              left.timers})
            made = made * 31 + it;
        return made;
    }

    booking_world world;
    budget left;
    ticket permit;

private:
    bool started_ = false;
};

/** Depth-first search through all executions. States are not copied: a branch
    is reached again by taking its steps from the start. */
class explorer
{
public:
    explorer(wrong_variant wrong, const budget& start)
        : wrong_(wrong)
        , start_(start)
    {
        auto first = std::make_unique<execution>(wrong_, start_);
        visit(std::move(first));
    }

    std::size_t states() const
    {
        return seen_.size();
    }

    std::string violation;
    std::size_t ran = 0;
    std::size_t finals = 0;

private:
    void visit(std::unique_ptr<execution> here)
    {
        violation = here->world.violation();
        if (!violation.empty() || !seen_.insert(here->fingerprint()).second)
            return;
        auto steps = here->steps();
        if (here->world.events().empty())
        {
            ++finals;
            ran += here->world.runs();
        }
        for (const auto& it : steps)
        {
            if (!here)
                here = again();
            here->take(it);
            path_.push_back(it);
            visit(std::move(here));
            path_.pop_back();
            here.reset();
            if (!violation.empty())
                return;
        }
    }

    std::unique_ptr<execution> again() const
    {
        auto made = std::make_unique<execution>(wrong_, start_);
        for (const auto& it : path_)
            made->take(it);
        return made;
    }

    wrong_variant wrong_;
    budget start_;
    std::vector<step> path_;
    std::unordered_set<std::uint64_t> seen_;
};

} // namespace

TEST_CASE("no interleaving runs a booking twice or makes not_run untrue")
{
    struct
    {
        std::string name;
        budget start;
    } runs[] = {
        {"one send, loss, double and crash", {1, 1, 1, 1, 0, 0}},
        {"one send, loss, crash and pause", {1, 1, 0, 1, 1, 0}},
        {"one send, double, crash and pause", {1, 0, 1, 1, 1, 0}},
        {"repeat with crash and pause", {2, 0, 0, 1, 1, 0}},
        {"repeat with loss and double", {2, 1, 1, 0, 0, 0}},
    };
    for (const auto& it : runs)
    {
        explorer tested(wrong_variant::none, it.start);
        MESSAGE(
            it.name << ": " << tested.states() << " states, " << tested.finals
                    << " at rest");
        CHECK(tested.violation == "");
        CHECK(tested.ran > 0);
        CHECK(tested.states() > 500);
    }
}

TEST_CASE("the exploration finds a retry after a lost reply")
{
    explorer tested(wrong_variant::retry_after_lost_reply, {1, 1, 0, 0, 0, 0});
    CHECK(tested.violation == "a booking ran twice");
}

TEST_CASE("the exploration finds a not_run after a lost reply")
{
    explorer tested(wrong_variant::not_run_after_loss, {1, 1, 0, 0, 0, 0});
    CHECK(tested.violation == "not_run was said about a booking that ran");
}

TEST_CASE("the exploration finds an owner without records")
{
    explorer tested(wrong_variant::no_records_at_owner, {1, 0, 1, 0, 0, 0});
    CHECK(tested.violation == "a booking ran twice");
}

TEST_CASE("the exploration finds a restarted owner that takes old frames")
{
    explorer tested(wrong_variant::no_owner_nonce, {1, 0, 1, 1, 0, 0});
    CHECK(tested.violation == "a booking ran twice");
}
