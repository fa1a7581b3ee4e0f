#pragma once

#include "engine_simulation.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace turmericlane::tests
{

/** Callers of several kinds of request that compete for the searchers of one
    service, on a virtual clock and with a fixed seed.

    The searchers serve requests in the order of their arrival with a limited
    number of slots. Some callers retry three times at once; the others honour
    a Retry-After up to a third of the time that they have, and retry once. */
class contention_load
{
public:
    /** A kind of request. */
    struct kind
    {
        route served_route;
        /** Time for which a caller waits for one request. */
        duration time_left{};
        /** Callers per second, outside and inside of a burst. */
        double usual_rate = 0.0;
        double burst_rate = 0.0;
        /** Share of the callers that retry at once. */
        double impatient_share = 0.3;
    };

    /** What the callers of a kind got, those that came during bursts only. */
    struct outcome_counts
    {
        std::uint32_t callers = 0;
        std::uint32_t in_time = 0;
        std::uint32_t late = 0;
        /** Callers whose last request was refused. */
        std::uint32_t refused = 0;
        /** Callers whose last request failed in another way. */
        std::uint32_t failed = 0;
        std::uint32_t requests = 0;
        std::uint32_t refusals = 0;
        /** Refusals later than a quarter of the target. */
        std::uint32_t late_refusals = 0;
        /** Returns of callers that honoured a Retry-After, and of these the
            admitted ones. */
        std::uint32_t returns = 0;
        std::uint32_t returns_admitted = 0;

        /** Returns the share of the callers that got an answer. */
        double served() const
        {
            return callers == 0 ? 1.0 : 1.0 * (in_time + late) / callers;
        }

        /** Returns the share of the callers that got an answer in time. */
        double served_in_time() const
        {
            return callers == 0 ? 1.0 : 1.0 * in_time / callers;
        }
    };

    /** @param simulation  its searchers are added and scripted here
        @param kinds       kinds of requests to service "s"
        @param seed        of the arrivals and of the searchers' work */
    contention_load(
        engine_simulation& simulation,
        std::vector<kind> kinds,
        std::uint64_t seed);

    /** Runs bursts of a length, each after a quiet time of two seconds. */
    void run(std::size_t bursts, duration burst_length);

    /** Returns what the callers of a kind got. */
    const outcome_counts& counts(std::size_t kind_index) const
    {
        return counts_.at(kind_index);
    }

    /** Returns the share of all callers that got an answer. */
    double served() const;

    /** Returns the figures of all kinds, for messages. */
    std::string text() const;

private:
    struct caller
    {
        std::size_t kind_index = 0;
        std::string label;
        bool is_impatient = false;
        bool is_counted = false;
        std::uint32_t retries = 0;
        bool has_returned = false;
    };

    struct arrival
    {
        time_point due_time;
        caller sender;
    };

    void add_searcher(std::size_t index);
    void run_phase(duration length, bool is_burst);
    void step(bool is_burst);
    void start(caller sender);
    void read_results();
    void handle_refusal(caller sender, const forward_result& result);

    engine_simulation& simulation_;
    std::vector<kind> kinds_;
    std::vector<outcome_counts> counts_;
    std::vector<time_point> next_arrivals_;
    std::mt19937_64 random_;
    std::mt19937_64 work_random_;
    /** When each slot of a searcher becomes free. */
    std::vector<std::vector<time_point>> slots_;
    std::map<request_handle, caller> open_requests_;
    std::vector<arrival> returns_;
    std::uint32_t last_caller_ = 0;
};

/** Returns an urgent kind with a target of 100 ms, whose bursts are 1.8 times
    its usual rate. */
contention_load::kind make_urgent_kind();

/** Returns an archive kind with a target of 400 ms, whose bursts are 2.6 times
    its usual rate. */
contention_load::kind make_archive_kind();

} // namespace turmericlane::tests
