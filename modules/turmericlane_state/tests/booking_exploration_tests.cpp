#include "booking_simulation.h"

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
    duplicate,
    send,
    crash,
    pause,
    run_timers
};

struct step
{
    step_kind kind;
    /** Position of the event, or index of the instance. */
    std::size_t index = 0;
    bool has_other_payload = false;
};

/** Numbers of steps of each kind that are left. */
struct step_budget
{
    std::size_t sends = 2;
    std::size_t drops = 1;
    std::size_t duplicates = 1;
    std::size_t crashes = 1;
    std::size_t pauses = 1;
    std::size_t timer_runs = 0;
};

/** A schedule of two instances and a caller with a ticket of the first one. */
class schedule
{
public:
    explicit schedule(injected_fault fault, const step_budget& initial_budget)
        : simulation(2, fault)
        , remaining_steps(initial_budget)
        , booking_ticket(simulation.issue(0))
    {
    }

    std::vector<step> possible_steps() const
    {
        std::vector<step> steps;
        for (std::size_t n = 0; n < simulation.events().size(); ++n)
        {
            steps.push_back({step_kind::deliver, n});
            if (remaining_steps.drops > 0)
                steps.push_back({step_kind::drop, n});
            if (remaining_steps.duplicates > 0 && simulation.can_duplicate(n))
                steps.push_back({step_kind::duplicate, n});
        }
        for (std::size_t index = 0; index < 2; ++index)
        {
            if (remaining_steps.sends > 0)
                steps.push_back({step_kind::send, index});
            if (remaining_steps.crashes > 0 && has_sent_)
                steps.push_back({step_kind::crash, index});
            if (remaining_steps.timer_runs > 0)
                steps.push_back({step_kind::run_timers, index});
        }
        if (remaining_steps.sends > 0 && has_sent_)
            steps.push_back({step_kind::send, 0, true});
        if (remaining_steps.pauses > 0 && has_sent_)
            steps.push_back({step_kind::pause});
        return steps;
    }

    void apply(const step& next_step)
    {
        switch (next_step.kind)
        {
        case step_kind::deliver:
            return simulation.deliver(next_step.index);
        case step_kind::drop:
            --remaining_steps.drops;
            return simulation.drop(next_step.index);
        case step_kind::duplicate:
            --remaining_steps.duplicates;
            return simulation.duplicate(next_step.index);
        case step_kind::send:
            --remaining_steps.sends;
            has_sent_ = true;
            return simulation.send(
                next_step.index, booking_ticket,
                next_step.has_other_payload ? "b" : "a");
        case step_kind::crash:
            --remaining_steps.crashes;
            return simulation.crash(next_step.index);
        case step_kind::pause:
            // All timers and messages that were due are now late.
            --remaining_steps.pauses;
            remaining_steps.timer_runs = 1;
            return simulation.advance(booking_simulation::ticket_lifetime);
        case step_kind::run_timers:
            --remaining_steps.timer_runs;
            return simulation.run_timers(next_step.index);
        }
    }

    std::uint64_t fingerprint() const
    {
        auto hash = simulation.fingerprint();
        for (auto it :
             {remaining_steps.sends, remaining_steps.drops,
              remaining_steps.duplicates, remaining_steps.crashes,
              remaining_steps.pauses, remaining_steps.timer_runs})
            hash = hash * 31 + it;
        return hash;
    }

    booking_simulation simulation;
    step_budget remaining_steps;
    ticket booking_ticket;

private:
    bool has_sent_ = false;
};

/** Depth-first search through all schedules. States are not copied: to go back
    to a state, its steps are repeated from the start. */
class explorer
{
public:
    explorer(injected_fault fault, const step_budget& initial_budget)
        : fault_(fault)
        , initial_budget_(initial_budget)
    {
        auto initial_schedule =
            std::make_unique<schedule>(fault_, initial_budget_);
        visit(std::move(initial_schedule));
    }

    std::size_t state_count() const
    {
        return visited_states_.size();
    }

    std::string violation;
    std::size_t execution_count = 0;
    /** Number of states in which no event is left. */
    std::size_t final_state_count = 0;

private:
    void visit(std::unique_ptr<schedule> current_schedule)
    {
        violation = current_schedule->simulation.violation();
        if (!violation.empty() ||
            !visited_states_.insert(current_schedule->fingerprint()).second)
            return;
        auto steps = current_schedule->possible_steps();
        if (current_schedule->simulation.events().empty())
        {
            ++final_state_count;
            execution_count += current_schedule->simulation.execution_count();
        }
        for (const auto& it : steps)
        {
            if (!current_schedule)
                current_schedule = replay_path();
            current_schedule->apply(it);
            path_.push_back(it);
            visit(std::move(current_schedule));
            path_.pop_back();
            current_schedule.reset();
            if (!violation.empty())
                return;
        }
    }

    std::unique_ptr<schedule> replay_path() const
    {
        auto replayed_schedule =
            std::make_unique<schedule>(fault_, initial_budget_);
        for (const auto& it : path_)
            replayed_schedule->apply(it);
        return replayed_schedule;
    }

    injected_fault fault_;
    step_budget initial_budget_;
    std::vector<step> path_;
    std::unordered_set<std::uint64_t> visited_states_;
};

} // namespace

TEST_CASE("no schedule runs a booking twice or after an answer of not_run")
{
    struct
    {
        std::string name;
        step_budget initial_budget;
    } explorations[] = {
        {"one send, loss, duplicate and crash", {1, 1, 1, 1, 0, 0}},
        {"one send, loss, crash and pause", {1, 1, 0, 1, 1, 0}},
        {"one send, duplicate, crash and pause", {1, 0, 1, 1, 1, 0}},
        {"repeat with crash and pause", {2, 0, 0, 1, 1, 0}},
        {"repeat with loss and duplicate", {2, 1, 1, 0, 0, 0}},
    };
    for (const auto& it : explorations)
    {
        explorer search(injected_fault::none, it.initial_budget);
        MESSAGE(
            it.name << ": " << search.state_count() << " states, "
                    << search.final_state_count << " of them final");
        CHECK(search.violation == "");
        CHECK(search.execution_count > 0);
        CHECK(search.state_count() > 500);
    }
}

TEST_CASE("the exploration detects a retry after a lost reply")
{
    explorer search(injected_fault::retry_after_lost_reply, {1, 1, 0, 0, 0, 0});
    CHECK(search.violation == "a booking ran twice");
}

TEST_CASE("the exploration detects not_run after a lost reply")
{
    explorer search(
        injected_fault::not_run_after_lost_reply, {1, 1, 0, 0, 0, 0});
    CHECK(search.violation == "not_run was answered for a booking that ran");
}

TEST_CASE("the exploration detects an owner without records")
{
    explorer search(injected_fault::owner_without_records, {1, 0, 1, 0, 0, 0});
    CHECK(search.violation == "a booking ran twice");
}

TEST_CASE("the exploration detects a restarted owner that accepts old frames")
{
    explorer search(injected_fault::unchecked_owner_nonce, {1, 0, 1, 1, 0, 0});
    CHECK(search.violation == "a booking ran twice");
}
