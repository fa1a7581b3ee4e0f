#pragma once

#include "../model/scenario.h"
#include "../variants/search_node.h"
#include "run_result.h"

namespace turmericlane::bench
{

/** The two programs that are compared. */
enum class variant : std::uint8_t
{
    naive,
    turmericlane
};

/** Runs one variant of one deployment through one scenario on a virtual clock.

    Arrivals and service times depend on the seed alone, so that both variants
    meet the same ones.

    @code
    auto result = bench_run(deployment, scenario, variant::naive, 1).run();
    @endcode
*/
class bench_run
{
public:
    bench_run(deployment of, scenario what, variant which, std::uint64_t seed);
    ~bench_run();
    bench_run(const bench_run&) = delete;
    bench_run& operator=(const bench_run&) = delete;

    /** Runs to the end; to be called once. */
    run_result run();

    /** Queries of this first part of a run count in no figure but the
        violations. */
    static constexpr duration warm_up = std::chrono::seconds(1);

private:
    struct arrival
    {
        time_point point;
        rank work = rank::ordinary;
        ordinal entry = 0;
    };

    static std::vector<arrival> make_arrivals(
        const deployment& of,
        const scenario& what,
        std::uint64_t seed,
        time_point start);

    void make_versions();
    void make_searchers(const bundle& of);
    void set_behaviour(fake_searcher& one, bool marked) const;
    void make_nodes();
    void send_next();
    void send(std::uint64_t query, const arrival& one);
    void schedule_failures();
    void schedule_replica_loss();
    void schedule_restarts();
    void schedule_rolls();
    void schedule_epochs();
    void schedule_version(duration start, duration spread, const bundle& next);
    void schedule_pause();
    void schedule_split();
    void tell_view(ordinal viewer, ordinal peer, bool usable);
    void put_in_force(search_node& to, const std::shared_ptr<const bundle>& of);
    void report_loads();
    void deliver_report(const load_report& report);
    void at(duration offset, event_queue::action what);
    /** A span below a limit, by hash. */
    duration within(duration limit, std::uint64_t key) const;

    deployment deployment_;
    scenario scenario_;
    variant variant_;
    std::uint64_t seed_;
    event_queue events_;
    time_point start_;
    std::vector<arrival> arrivals_;
    std::size_t next_arrival_ = 0;
    answer_checker checker_;
    fake_network network_;
    searcher_table searchers_;
    surroundings around_;
    std::vector<std::unique_ptr<search_node>> nodes_;
    /** The last version that any failure makes. */
    bundle last_;
    /** The marked replicas, and the candidate owners of each searcher. */
    std::vector<fake_searcher*> marked_;
    std::map<searcher_id, std::vector<ordinal>> owners_;
};

} // namespace turmericlane::bench
