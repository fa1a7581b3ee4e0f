#pragma once

#include "../model/scenario.h"
#include "../variants/search_instance.h"
#include "run_result.h"

namespace turmericlane::bench
{

/** Search algorithms that the bench compares. */
enum class variant : std::uint8_t
{
    naive,
    turmericlane
};

/** Runs one variant of one deployment through one scenario on a virtual clock.

    Arrivals and service times depend on the seed alone, so that they are the
    same for both variants.

    @code
    auto result = bench_run(deployment, scenario, variant::naive, 1).run();
    @endcode
*/
class bench_run
{
public:
    bench_run(
        deployment selected_deployment,
        scenario selected_scenario,
        variant selected_variant,
        std::uint64_t seed);
    ~bench_run();
    bench_run(const bench_run&) = delete;
    bench_run& operator=(const bench_run&) = delete;

    /** Runs to the end of the scenario. Must be called at most once. */
    run_result run();

    /** Time at the start of a run whose queries count only for the
        violations. */
    static constexpr duration warm_up = std::chrono::seconds(1);

private:
    struct arrival
    {
        time_point arrival_time;
        rank query_rank = rank::ordinary;
        ordinal entry = 0;
    };

    static std::vector<arrival> make_arrivals(
        const deployment& selected_deployment,
        const scenario& selected_scenario,
        std::uint64_t seed,
        time_point start);

    void make_last_bundle();
    void make_searchers(const bundle& configuration);
    void set_behaviour(fake_searcher& server, bool is_faulty) const;
    void make_instances();
    void schedule_next_query();
    void send_query(std::uint64_t query, const arrival& query_arrival);
    void schedule_failures();
    void schedule_replica_loss();
    void schedule_restarts();
    void schedule_snapshot_roll();
    void schedule_repartition();
    void schedule_version(
        duration start, duration spread, const bundle& next_bundle);
    void schedule_pause();
    void schedule_split();
    void notify_peer_view(ordinal viewer, ordinal peer, bool is_usable);
    void apply_bundle(
        search_instance& target,
        const std::shared_ptr<const bundle>& new_bundle);
    void send_load_reports();
    void deliver_report(const load_report& report);
    void schedule_at(duration offset, event_queue::action callback);
    /** Returns a duration between zero and a limit, derived from a hash. */
    duration random_duration(duration limit, std::uint64_t draw_key) const;

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
    run_context context_;
    std::vector<std::unique_ptr<search_instance>> instances_;
    /** Last version that the failures of the scenario produce. */
    bundle last_bundle_;
    std::vector<fake_searcher*> faulty_replicas_;
    /** Candidate owners of the group of each searcher. */
    std::map<searcher_id, std::vector<ordinal>> candidate_owners_;
};

} // namespace turmericlane::bench
